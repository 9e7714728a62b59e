package cacheproxy.syscalls;

import java.nio.channels.SelectableChannel;

/** A channel that stands before one of the Java library's own. */
interface WrappedChannel {

    /** The channel that the system knows. */
    SelectableChannel delegate();
}
