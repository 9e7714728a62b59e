package hopglade.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Holds the proxy's loop still where a test says so, to let something come between two of its steps. */
final class Held {

    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

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
