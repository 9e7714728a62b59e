package cacheproxy.proxy;

/** Why a request ended without being served. The log shows the names in lower case. */
enum EndCause {
    /** The decision module rejected or failed it. */
    DECISION,

    /** The decision module had not answered by the request's deadline. */
    DEADLINE,

    /** Its body could not be passed on to a node in the client's time. */
    BODY_NOT_ACCEPTED,

    /** The decision module broke down while it handled the request. */
    MODULE_FAULT,

    /** The process terminates. */
    SHUTDOWN,

    /** As many requests are open as the configuration allows. */
    REQUEST_LIMIT,

    /** Its id is that of an earlier request that may have run. */
    REPEATED_ID,

    /** The client closed its connection. */
    CLIENT_DISCONNECTED,

    /** So much of the client's input is unread that it may have left, and an attempt was due. */
    CLIENT_PRESENCE_UNKNOWN
}
