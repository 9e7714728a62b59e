package cacheproxy.store;

import java.io.IOException;

/** A change that was not made, as a later call on the same state has been written before it. */
public final class SupersededException extends IOException {

    private static final long serialVersionUID = 1;

    SupersededException(String state) {
        super(state + ": a later call has been written by another process");
    }
}
