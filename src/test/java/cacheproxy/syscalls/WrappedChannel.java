package cacheproxy.syscalls;

import java.nio.channels.SelectableChannel;

/** A channel that delegates to one of the Java library's own channels. */
interface WrappedChannel {

    /** Returns the library's channel, which a selector can register. */
    SelectableChannel delegate();
}
