package cacheproxy.store;

import java.io.IOException;

/** Thrown when a change was not made because a later call on the same state has been written. */
public final class SupersededException extends IOException {

    private static final long serialVersionUID = 1;

    SupersededException(String state) {
        super(state + ": a later call has been written by another process");
    }
}
