package cacheproxy.proxy;

/** Why the proxy ended a client's connection before or beside an orderly last response. */
enum CloseCause {
    /** A new or idle connection gave way to a new one at the limit of connections. */
    EVICTED,

    /** A request's bytes came too slowly, or stopped. */
    SLOW_REQUEST,

    /** A request was malformed or too long. */
    MALFORMED_REQUEST,

    /** More requests were sent ahead than may wait. */
    PIPELINE_OVERFLOW,

    /** The client stopped reading a long response. */
    RESPONSE_STALLED,

    /** The client stopped reading the last response. */
    LAST_RESPONSE_STALLED
}
