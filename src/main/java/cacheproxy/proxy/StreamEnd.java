package cacheproxy.proxy;

/** Why a response that was being passed on remained incomplete. */
enum StreamEnd {
    /** The node's connection broke or its response was malformed. */
    NODE_BROKE,

    /** The node wrote nothing for too long after the request's deadline. */
    NODE_SILENT,

    /** The client closed its connection or stopped reading. */
    CLIENT_DISCONNECTED
}
