package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Actions;
import cacheproxy.Router.Outcome;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that has left while its end lies unread, as the loop stood still or reads nothing from
 * it: of what is due next nothing is sent on. The loop is held inside the router while the client
 * leaves, so nothing here depends on time.
 */
class ClientLeftTest extends WithSite {

    private static final String HOLDS = "holds";

    /**
     * Much longer than connections rest between two uses; where it is not, the test only forces
     * less.
     */
    private static final long REST_MS = 40;

    private final Held held = new Held();

    private static String get(String id) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: 60\r\n\r\n";
    }

    /** Holds the loop in the request of another client, which is refused when it goes on. */
    private Peer.Wire holdLoop() throws Exception {
        Scripted.OnRequest usual = site.router.onRequest;
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals(HOLDS)) {
                        held.hold();
                        out.refuse(HOLDS, 0);
                    } else {
                        usual.decide(request, out);
                    }
                };
        Peer.Wire other = site.client();
        other.write(get(HOLDS));
        held.entered();
        return other;
    }

    /**
     * Two connections to the node that are at rest, so that what is sent next is written at once
     * and not after a turn or two.
     */
    private void keepConnections() throws Exception {
        try (Peer.Wire one = site.client();
                Peer.Wire two = site.client()) {
            one.write(get("one"));
            two.write(get("two"));
            for (Peer.Message each : List.of(site.node.next(), site.node.next())) {
                each.wire().answer(200, "v");
                assertEquals(Outcome.OK, Scripted.next(site.router.ends).outcome());
            }
            TimeUnit.MILLISECONDS.sleep(REST_MS);
        }
    }

    private static void leave(Peer.Wire client, boolean byReset) throws Exception {
        if (byReset) {
            client.socket().setSoLinger(true, 0);
        }
        client.close();
    }

    /** The next that the node hears of is the request of a client that is there. */
    private void onlyOthersAreSentOn() throws Exception {
        site.router.onEnd = (end, out) -> {};
        try (Peer.Wire there = site.client()) {
            there.write(get("there"));
            Peer.Message next = site.node.next();
            while (next.text() == null) {
                next = site.node.next();
            }
            assertEquals("there", next.header("X-Call-Id"));
            next.wire().answer(200, "v");
            assertEquals(200, Site.status(there.read()));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void oneThatConnectsAsksAndLeavesBeforeItIsAccepted(boolean byReset) throws Exception {
        try (Peer.Wire other = holdLoop()) {
            Peer.Wire brief = site.client();
            brief.write(get("brief"));
            leave(brief, byReset);
            held.release();
            assertEquals("brief", Scripted.next(site.router.gone));
            assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
            assertEquals(503, Site.status(other.read()));
        }
        onlyOthersAreSentOn();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void oneWhoseTimerIsDueAsWell(boolean byReset) throws Exception {
        AtomicReference<Actions> actions = new AtomicReference<>();
        site.router.onTimer = () -> actions.get().send("late", "c0", 0);
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("late")) {
                        actions.set(out);
                        out.timer(0, "again");
                        held.hold();
                    } else {
                        out.send(request.id(), "c0", 0);
                    }
                };
        client.write(get("late"));
        held.entered();
        leave(client, byReset);
        held.release();
        assertEquals("late", Scripted.next(site.router.gone));
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        onlyOthersAreSentOn();
    }

    /**
     * Its own half has ended and the other is open: that is how a close shows as long as nothing is
     * written to it.
     */
    @Test
    void oneThatOnlyEndsItsHalfBeforeItsTimerIsDue() throws Exception {
        AtomicReference<Actions> actions = new AtomicReference<>();
        site.router.onTimer = () -> actions.get().send("half", "c0", 0);
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("half")) {
                        actions.set(out);
                        out.timer(0, "again");
                        held.hold();
                    } else {
                        out.send(request.id(), "c0", 0);
                    }
                };
        client.write(get("half"));
        held.entered();
        client.socket().shutdownOutput();
        held.release();
        assertEquals("half", Scripted.next(site.router.gone));
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        onlyOthersAreSentOn();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void oneWhoseAttemptEndsAndIsToBeRepeated(boolean byReset) throws Exception {
        site.router.onEnd =
                (end, out) -> {
                    if (!end.finished()) {
                        held.hold();
                        out.send(end.request(), "c0", 0);
                    }
                };
        client.write(get("missed"));
        site.node.next().wire().answer(404, "");
        held.entered();
        leave(client, byReset);
        held.release();
        assertEquals("missed", Scripted.next(site.router.gone));
        assertEquals(Outcome.MISS, Scripted.next(site.router.ends).outcome());
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        onlyOthersAreSentOn();
    }

    @Test
    void oneThatLeavesBetweenThePiecesOfARequestAndItsEnd() throws Exception {
        keepConnections();
        String request = get("pieces");
        client.write(request.substring(0, request.length() / 2));
        try (Peer.Wire other = holdLoop()) {
            client.write(request.substring(request.length() / 2));
            client.close();
            held.release();
            assertEquals(503, Site.status(other.read()));
        }
        assertEquals("pieces", Scripted.next(site.router.gone));
        onlyOthersAreSentOn();
    }

    @Test
    void oneWhoseOtherRequestsWaitBehindTheOpenOne() throws Exception {
        keepConnections();
        client.write(get("first") + get("second") + get("third"));
        Peer.Message first = site.node.next();
        assertEquals("first", first.header("X-Call-Id"));
        try (Peer.Wire other = holdLoop()) {
            first.wire().answer(200, "v");
            client.close();
            held.release();
            assertEquals(503, Site.status(other.read()));
        }
        onlyOthersAreSentOn();
        assertTrue(
                site.router.requests.stream().noneMatch(r -> r.id().equals("third")),
                "not even decided on");
    }

    /**
     * Of a long upload nothing is read until a node's connection takes it, so its client's end lies
     * behind its bytes.
     */
    @Test
    void oneThatLeavesInTheMiddleOfAnUploadThatWaits() throws Exception {
        AtomicReference<Actions> actions = new AtomicReference<>();
        site.router.onRequest =
                (request, out) -> {
                    actions.set(out);
                    if (request.id().equals("w1")) {
                        held.hold();
                    }
                    out.send(request.id(), "c0", 0);
                };
        String upload =
                Site.put("Idempotency-Key: k-9\r\n", "v".repeat(3 * Gatherer.MOST_GATHERED / 2));
        client.write(upload.substring(0, 1000));
        held.entered();
        client.write(upload.substring(1000, upload.length() / 2));
        client.close();
        held.release();
        assertEquals("w1", Scripted.next(site.router.gone));
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        onlyOthersAreSentOn();
    }

    /**
     * What was read ahead of one that is there comes in its order: here the rest of an upload and a
     * request behind it.
     */
    @Test
    void whatIsReadAheadIsHandedOnInItsOrder() throws Exception {
        String body = "0123456789abcdef".repeat(ClientChannel.MOST_AHEAD / 8);
        String upload = Site.put("Idempotency-Key: k-9\r\n", body);
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("w1")) {
                        held.hold();
                    }
                    out.send(request.id(), "c0", 0);
                };
        client.write(upload.substring(0, 1000));
        held.entered();
        Thread writing =
                new Thread(
                        () -> {
                            try {
                                client.write(upload.substring(1000) + get("behind"));
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        writing.start();
        held.release();
        Peer.Message whole = site.node.next();
        assertEquals(body, whole.body());
        whole.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
        Peer.Message behind = site.node.next();
        assertEquals("behind", behind.header("X-Call-Id"));
        behind.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
        writing.join();
    }
}
