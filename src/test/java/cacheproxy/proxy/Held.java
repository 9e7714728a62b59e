package cacheproxy.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Holds the proxy's loop still where a test says so, to let something come between two of its
 * steps.
 */
final class Held {

    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    /** Holds the loop at the next request, which is refused when it goes on. */
    static Held atNextRequest(Site site) {
        Held held = new Held();
        site.router.onRequest =
                (request, out) -> {
                    held.hold();
                    out.refuse(request.id(), 0);
                };
        return held;
    }

    /** Called on the loop: stands still until {@link #release}. */
    void hold() {
        entered.countDown();
        await(released);
    }

    /** Returns once the loop stands still. */
    void entered() {
        await(entered);
    }

    void release() {
        released.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(Peer.PATIENCE_S, TimeUnit.SECONDS)) {
                throw new AssertionError("nobody came");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
