package cacheproxy.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Holds the proxy's loop still where a test says so, to let something come between two of its
 * steps.
 */
final class EventLoopPause {

    private final CountDownLatch pausedLatch = new CountDownLatch(1);
    private final CountDownLatch resumedLatch = new CountDownLatch(1);

    /** Holds the loop at the next request, which is refused when it goes on. */
    static EventLoopPause atNextRequest(ProxyFixture fixture) {
        EventLoopPause loopPause = new EventLoopPause();
        fixture.router.onRequest =
                (request, out) -> {
                    loopPause.pause();
                    out.reject(request.id(), 0);
                };
        return loopPause;
    }

    /** Called on the loop: stands still until {@link #release}. */
    void pause() {
        pausedLatch.countDown();
        await(resumedLatch);
    }

    /** Returns once the loop stands still. */
    void awaitPaused() {
        await(pausedLatch);
    }

    void resume() {
        resumedLatch.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(TestServer.TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new AssertionError("nobody came");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
