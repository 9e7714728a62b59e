package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Answers that name no length and end with their connection, as their {@code Connection: close}
 * says: how many of the whole ones a client gets, where others are reset on the way.
 */
class CloseDelimitedAnswersTest {

    private static final int ANSWERS = 200;

    /** From the first on that are gathered whole up to one that flows to the client as it comes. */
    private static final int[] LENGTHS = {0, 10, 5000, Gatherer.MOST_GATHERED + 50_000};

    /** One answer in so many is reset. */
    private static final int RESET_EVERY = 3;

    private static final long BEFORE_RESET_MS = 5;

    private Site site;

    @BeforeEach
    void start() throws Exception {
        site = Site.started();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    /**
     * What a node does with one request: how much it writes of which body, and whether a reset
     * follows.
     */
    private record Play(int length, int written, boolean reset, boolean pause) {

        /**
         * Of those that are reset some have said all of the body, and for some the reset comes
         * behind what was read already.
         */
        static Play of(int number) {
            int length = LENGTHS[number / RESET_EVERY % LENGTHS.length];
            boolean reset = number % RESET_EVERY == 0;
            int round = number / (RESET_EVERY * LENGTHS.length);
            boolean part = round % 2 == 0;
            boolean pause = round / 2 % 2 == 0;
            return new Play(length, reset && part ? length / 2 : length, reset, pause);
        }

        String body() {
            return "v".repeat(length);
        }

        void answer(Peer.Wire wire) throws IOException, InterruptedException {
            wire.write(
                    "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + body().substring(0, written));
            if (reset && pause) {
                TimeUnit.MILLISECONDS.sleep(BEFORE_RESET_MS);
            }
            if (reset) {
                wire.socket().setSoLinger(true, 0);
            }
            wire.close();
        }
    }

    /**
     * What a client got: its status, and the body where it is whole; null where the client can tell
     * that it is not.
     */
    private record Got(int status, String body) {}

    private Got ask(Play play) throws Exception {
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            Peer.Message request = site.node.next();
            while (request.text() == null) {
                request = site.node.next();
            }
            play.answer(request.wire());
            return got(client);
        }
    }

    private static Got got(Peer.Wire client) throws IOException {
        InputStream in = client.socket().getInputStream();
        String head = Peer.until("\r\n\r\n", in);
        if (head == null) {
            return new Got(-1, null);
        }
        Peer.Message answer = new Peer.Message(head, client);
        String length = answer.header("Content-Length");
        return new Got(
                Site.status(head),
                length == null ? chunked(in) : exactly(in, Integer.parseInt(length)));
    }

    private static String exactly(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads chunks up to the last one; null where the connection ends or breaks before. */
    private static String chunked(InputStream in) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            while (true) {
                String size = Peer.until("\r\n", in);
                int bytes = size == null ? -1 : Integer.parseInt(size.trim(), 16);
                String chunk = bytes < 0 ? null : exactly(in, bytes);
                if (chunk == null || Peer.until("\r\n", in) == null) {
                    return null;
                }
                if (bytes == 0) {
                    return body.toString(StandardCharsets.ISO_8859_1);
                }
                body.writeBytes(chunk.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            return null;
        }
    }

    @Test
    void allWholeOnesGoOnAndNoneThatWasResetIsPassedOnAsWhole() throws Exception {
        int whole = 0;
        List<Integer> lost = new ArrayList<>();
        for (int i = 0; i < ANSWERS; i++) {
            Play play = Play.of(i);
            Got got = ask(play);
            boolean passedOn = got.status() == 200 && got.body() != null;
            if (play.reset()) {
                assertFalse(
                        passedOn, "answer " + i + " was reset, and passed on as whole: " + play);
                assertNotEquals(-1, got.status(), "request " + i + " had no answer");
                continue;
            }
            whole++;
            if (passedOn) {
                assertEquals(play.body(), got.body(), "answer " + i);
            } else {
                lost.add(i);
            }
        }
        assertEquals(List.of(), lost, "of " + whole + " whole answers these did not go on");
    }
}
