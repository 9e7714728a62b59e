package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What has come on an idle connection and lies unread when the next request is to be written to it:
 * it is not written there.
 */
class StaleConnectionTest extends WithSite {

    private static final String END = "an end";

    @ParameterizedTest
    @ValueSource(
            strings = {
                END,
                "H",
                "HTTP/1.1 200 x\r\nContent-Le",
                "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nwrong"
            })
    void anotherConnectionIsUsed(String unread) throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire idle = site.node.next().wire();
        idle.answer(200, "v");
        client.read();
        // Past its rest, so that it would be used, and not yet closed as a spare.
        TimeUnit.MILLISECONDS.sleep(50);
        Held held = new Held();
        site.router.onRequest =
                (request, out) -> {
                    held.hold();
                    out.send(request.id(), "c0", 0);
                };
        client.write(site.get(Site.LONG_S));
        held.entered();
        if (unread.equals(END)) {
            idle.socket().shutdownOutput();
        } else {
            idle.write(unread);
        }
        held.release();
        Peer.Message next = site.node.next();
        while (next.text() == null) {
            next = site.node.next();
        }
        assertNotEquals(idle.number(), next.wire().number());
        next.wire().answer(200, "right");
        assertEquals("right", new Peer.Message(client.read(), client).body());
    }

    /** A reset is no end: only an end that the node tells ends an answer without a length. */
    @ParameterizedTest
    @CsvSource({"10, false, OK, 200", "10, true, RESET, 502", "10000, true, RESET, 502"})
    void anAnswerWithoutALengthEndsWithItsConnectionAndNotWithAReset(
            int length, boolean reset, Outcome outcome, int status) throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        Held held = Held.atNextRequest(site);
        try (Peer.Wire other = site.client()) {
            other.write(site.get(Site.LONG_S));
            held.entered();
            wire.write("HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + "v".repeat(length));
            if (reset) {
                wire.socket().setSoLinger(true, 0);
            }
            wire.close();
            held.release();
            assertEquals(503, Site.status(other.read()));
        }
        assertEquals(outcome, Scripted.next(site.router.ends).outcome());
        assertEquals(status, Site.status(client.read()));
    }

    /**
     * A long one has begun to go to the client, who has to be able to tell that its rest never
     * came.
     */
    @Test
    void aLongAnswerWithoutALengthThatIsResetIsNotPassedOnAsWhole() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire wire = site.node.next().wire();
        wire.write("HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + "v".repeat(200_000));
        String head = Peer.until("\r\n\r\n", client.socket().getInputStream());
        assertEquals("chunked", new Peer.Message(head, client).header("transfer-encoding"));
        wire.socket().setSoLinger(true, 0);
        wire.close();
        byte[] rest = client.socket().getInputStream().readAllBytes();
        String end =
                new String(
                        rest,
                        Math.max(0, rest.length - 5),
                        Math.min(5, rest.length),
                        StandardCharsets.US_ASCII);
        assertTrue(!end.equals("0\r\n\r\n"), "the last chunk says that this was all");
    }

    @Test
    void aConnectionThatWasResetWhileIdleIsNotUsed() throws Exception {
        client.write(site.get(Site.LONG_S));
        Peer.Wire idle = site.node.next().wire();
        idle.answer(200, "v");
        client.read();
        idle.socket().setSoLinger(true, 0);
        idle.close();
        assertNull(site.node.next().text());
        client.write(site.get(Site.LONG_S));
        Peer.Message next = site.node.next();
        next.wire().answer(200, "right");
        assertEquals("right", new Peer.Message(client.read(), client).body());
    }
}
