package cacheproxy.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Pauses the proxy's event loop where a test wants it, so that events can be placed between two of
 * its steps.
 */
final class EventLoopPause {

    private final CountDownLatch pausedLatch = new CountDownLatch(1);
    private final CountDownLatch resumedLatch = new CountDownLatch(1);

    /** Pauses the loop at the next request, which is rejected when the loop resumes. */
    static EventLoopPause atNextRequest(ProxyFixture fixture) {
        EventLoopPause loopPause = new EventLoopPause();
        fixture.router.onRequest =
                (request, out) -> {
                    loopPause.pause();
                    out.reject(request.id(), 0);
                };
        return loopPause;
    }

    /** Called on the event loop: blocks until {@link #resume}. */
    void pause() {
        pausedLatch.countDown();
        await(resumedLatch);
    }

    /** Returns once the event loop is paused. */
    void awaitPaused() {
        await(pausedLatch);
    }

    void resume() {
        resumedLatch.countDown();
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(TestServer.TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new AssertionError("timed out waiting for the event loop's pause or its end");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
