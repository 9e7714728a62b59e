package cacheproxy.proxy;

import cacheproxy.Router.Outcome;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * One request to one node and its one outcome. Until its last byte is written nothing of it has
 * run: it can be given up without a trace, and is where nobody waits for it any more or its time
 * for being written is over.
 */
final class Exchange {

    /**
     * Takes how an exchange ended; {@code response} is null where no whole answer came and is
     * released afterwards.
     */
    interface Done {
        void ended(Exchange exchange, Outcome outcome, FullHttpResponse response);

        /**
         * Whether somebody still waits for its answer; asked in the moment in which its first byte
         * could be written.
         */
        default boolean isWanted() {
            return true;
        }

        /**
         * A good answer that is too long to be gathered has begun; null where nobody takes its
         * rest.
         */
        default Rest began(Exchange exchange, HttpResponse head) {
            return null;
        }
    }

    /** Takes the rest of a long answer. */
    interface Rest {
        /** A part, which this owns. */
        void part(HttpContent part);

        /** It has come to its end, or will not. */
        void ended(boolean whole);
    }

    private final Supplier<? extends HttpRequest> request;
    private final EventLoop loop;
    private final IdleAges ages;
    private final LongSupplier nanos;
    private final Done done;
    final Upload upload;

    /** Who takes the rest of a long answer; null where there is none, or none is left. */
    Rest rest;

    /** Its connection, which may be coming up still; null while it waits for one. */
    Channel channel;

    /** Whether its last byte is. */
    boolean written;

    boolean over;

    /**
     * How long its connection had been idle, 0 for a new one; and whether bytes of an answer have
     * come.
     */
    double idleMs;

    boolean answering;
    private Future<?> timer;
    private Future<?> writeTimer;
    private long writeBy;

    Exchange(
            Supplier<? extends HttpRequest> request,
            Upload upload,
            Done done,
            EventLoop loop,
            IdleAges ages,
            LongSupplier nanos) {
        this.request = request;
        this.upload = upload;
        this.done = done;
        this.loop = loop;
        this.ages = ages;
        this.nanos = nanos;
    }

    HttpRequest request() {
        return request.get();
    }

    /**
     * Gives it up. The connection goes too: its answer may still come and would be taken for
     * another's.
     */
    void cancel() {
        abandon(Outcome.CANCELLED);
        if (rest != null) {
            rest = null;
            channel.close();
        }
    }

    /** Stops reading a long answer, or reads on. */
    void pause(boolean pauses) {
        if (rest != null) {
            channel.config().setAutoRead(!pauses);
        }
    }

    /**
     * Gives it up after so long from now; said again for a request whose body flows, as its time
     * begins with its last byte.
     */
    void limit(double timeoutMs) {
        if (!over) {
            stop(timer);
            timer =
                    loop.schedule(
                            this::timedOut,
                            (long) (Math.max(0, timeoutMs) * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Has its last byte written within so long, or never: what may not run twice may be repeated
     * for a short while only.
     */
    void writeWithin(double ms) {
        if (ms < Long.MAX_VALUE / 1e6) {
            long left = (long) (ms * 1e6);
            writeBy = nanos.getAsLong() + left;
            writeTimer =
                    loop.schedule(this::dropUnlessWritten, Math.max(0, left), TimeUnit.NANOSECONDS);
        }
    }

    /** Whether it may be written now, which asks its client's side; one that may not ends here. */
    boolean mayBeWritten() {
        if (writeTimer != null && nanos.getAsLong() - writeBy >= 0) {
            dropUnlessWritten();
        }
        if (!over && !done.isWanted()) {
            dropUnlessWritten();
        }
        return !over;
    }

    /**
     * Gives it up if it can't have run, whatever the settings say of giving up: then nothing was
     * sent.
     */
    void dropUnlessWritten() {
        if (!written) {
            abandon(Outcome.NEVER_SENT);
        }
    }

    private static void stop(Future<?> running) {
        if (running != null) {
            running.cancel(false);
        }
    }

    private void stopTimers() {
        stop(timer);
        stop(writeTimer);
    }

    void begin(HttpResponse head) {
        over = true;
        stopTimers();
        ages.used(idleMs, false, nanos.getAsLong());
        rest = done.began(this, head);
    }

    void lastPart(HttpContent part) {
        Rest taker = rest;
        rest = null;
        taker.part(part);
        taker.ended(true);
    }

    /** The rest of a long answer will not come. */
    void cutShort() {
        Rest taker = rest;
        rest = null;
        if (taker != null) {
            taker.ended(false);
        }
    }

    private void timedOut() {
        // Before its last byte was written the node cannot have begun it.
        abandon(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    void unconnected() {
        if (channel == null) {
            end(Outcome.CONNECT_FAILED, null);
        }
    }

    void broken() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    void abandon(Outcome outcome) {
        if (!over) {
            end(outcome, null);
            if (channel != null) {
                channel.close();
            }
        }
    }

    void end(Outcome outcome, FullHttpResponse response) {
        if (!over) {
            over = true;
            stopTimers();
            boolean broke = outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
            if (outcome != Outcome.CANCELLED && outcome != Outcome.NEVER_SENT) {
                ages.used(idleMs, broke && !answering, nanos.getAsLong());
            }
            done.ended(this, outcome, response);
        }
    }
}
