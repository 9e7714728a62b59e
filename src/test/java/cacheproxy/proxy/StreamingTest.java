package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import io.netty.util.internal.PlatformDependent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Long messages flow both ways, in pieces of any size, and neither more nor less of them comes out
 * than went in.
 */
class StreamingTest {

    private static final int PATIENCE_S = 60;
    private static final int LONG = 32 << 20;

    /**
     * What the node does with a connection once a request's head and body have been read from it.
     */
    private interface Node {
        void play(byte[] body, OutputStream out) throws Exception;
    }

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket server;
    private Site site;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
        site.close();
    }

    private void node(Node node) throws Exception {
        site = new Site();
        Thread accepting =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = server.accept();
                                    sockets.add(socket);
                                    Thread playing = new Thread(() -> play(socket, node), "node");
                                    playing.setDaemon(true);
                                    playing.start();
                                }
                            } catch (IOException e) {
                                return;
                            }
                        },
                        "accepts");
        accepting.setDaemon(true);
        accepting.start();
        site.hosts = new String[] {Site.host("c0", "127.0.0.1:" + server.getLocalPort(), "up", 0)};
        site.start("automatic", "60000", "");
    }

    private static void play(Socket socket, Node node) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                String head = head(in);
                node.play(body(head, in), socket.getOutputStream());
            }
        } catch (Exception e) {
            return;
        }
    }

    private static String head(InputStream in) throws IOException {
        return until("\r\n\r\n", in);
    }

    private static String until(String end, InputStream in) throws IOException {
        String text = Peer.until(end, in);
        if (text == null) {
            throw new IOException("closed");
        }
        return text;
    }

    private static String header(String head, String name) {
        return new Peer.Message(head, null).header(name);
    }

    /** Reads a body as its head says; throws where it breaks off. */
    private static byte[] body(String head, InputStream in) throws IOException {
        var out = new ByteArrayOutputStream();
        if ("chunked".equals(header(head, "transfer-encoding"))) {
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                out.write(exactly(in, size));
                exactly(in, 2);
            }
            exactly(in, 2);
        } else if (header(head, "content-length") != null) {
            out.write(exactly(in, Integer.parseInt(header(head, "content-length"))));
        }
        return out.toByteArray();
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(until("\r\n", in).trim(), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("closed");
        }
        return bytes;
    }

    private static byte[] noise(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    /** The same bytes in pieces of any size. */
    private static void pieces(byte[] bytes, OutputStream out) throws IOException {
        Random random = new Random(7);
        for (int at = 0; at < bytes.length; ) {
            int piece =
                    Math.min(
                            bytes.length - at,
                            1 + random.nextInt(random.nextInt(10) == 0 ? 400_000 : 3000));
            out.write(bytes, at, piece);
            at += piece;
        }
    }

    private static String with(String form, int length) {
        return switch (form) {
            case "length" -> "Content-Length: " + length + "\r\n\r\n";
            case "chunked" -> "Transfer-Encoding: chunked\r\n\r\n";
            default -> "Connection: close\r\n\r\n";
        };
    }

    private static byte[] formed(String form, byte[] body) throws IOException {
        if (!form.equals("chunked")) {
            return body;
        }
        var out = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; at += 70_001) {
            int size = Math.min(70_001, body.length - at);
            out.write(
                    (Integer.toHexString(size) + ";ext=\"a b\"\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            out.write(body, at, size);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    @Timeout(PATIENCE_S)
    void aLongAnswerComesWholeInEachForm(String form) throws Exception {
        byte[] body = noise(3_000_000);
        node(
                (in, out) -> {
                    pieces(
                            ("HTTP/1.1 200 x\r\n" + with(form, body.length))
                                    .getBytes(StandardCharsets.US_ASCII),
                            out);
                    pieces(formed(form, body), out);
                    if (form.equals("close")) {
                        out.close();
                    }
                });
        try (Peer.Wire client = site.client()) {
            for (int i = 0; i < 2; i++) {
                client.write(site.get(Site.LONG_S));
                InputStream in = client.socket().getInputStream();
                String head = head(in);
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                assertArrayEquals(body, body(head, in));
                assertEquals(Outcome.OK, Scripted.next(site.router.ends).outcome());
            }
        }
    }

    @Test
    @Timeout(PATIENCE_S)
    void manyAnswersOf32MbFlowToSlowReadersBesideSmallOnes() throws Exception {
        byte[] body = noise(LONG);
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(body);
        // Four are twice the memory of the smallest proxy, and as many as this site lets be open.
        int readers = 4;
        CountDownLatch begun = new CountDownLatch(readers);
        node(
                (in, out) -> {
                    out.write(
                            ("HTTP/1.1 200 x\r\n" + with("length", body.length))
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                });
        site.router.onRequest =
                (request, out) -> {
                    if (request.service().equals("read")) {
                        out.send(request.id(), "c0", 0);
                    } else {
                        out.refuse(request.id(), 0);
                    }
                };
        List<CompletableFuture<byte[]>> all = new ArrayList<>();
        long heldBefore = PlatformDependent.usedDirectMemory();
        for (int i = 0; i < readers; i++) {
            all.add(
                    CompletableFuture.supplyAsync(
                            () -> slowly(body.length, begun),
                            r -> new Thread(r, "reader").start()));
        }
        long most = 0;
        while (!all.stream().allMatch(CompletableFuture::isDone)) {
            most = Math.max(most, PlatformDependent.usedDirectMemory() - heldBefore);
            try (Peer.Wire small = site.client()) {
                small.write(Site.put("Idempotency-Key: k\r\n", "v"));
                assertEquals(503, Site.status(small.read()), "others are answered meanwhile");
            }
        }
        for (CompletableFuture<byte[]> one : all) {
            assertArrayEquals(digest, one.get(1, TimeUnit.SECONDS));
        }
        assertTrue(most < 8 << 20, "held " + most);
    }

    /**
     * Reads no more than the head until all have theirs: so long each answer is held up on its way.
     */
    private byte[] slowly(int length, CountDownLatch begun) {
        try (Peer.Wire client = site.client()) {
            String request;
            synchronized (site) {
                request = site.get(Site.LONG_S);
            }
            client.write(request);
            InputStream in = client.socket().getInputStream();
            assertEquals(200, Site.status(head(in)));
            begun.countDown();
            begun.await();
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] piece = new byte[100_000];
            for (int left = length; left > 0; ) {
                int n = in.read(piece, 0, Math.min(piece.length, left));
                if (n < 0) {
                    throw new IOException("cut off");
                }
                digest.update(piece, 0, n);
                left -= n;
            }
            return digest.digest();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    @Timeout(PATIENCE_S)
    void anAnswerThatBreaksOffCanBeToldFromAWholeOne(String form) throws Exception {
        byte[] body = noise(300_000);
        byte[] sent = formed(form, body);
        node(
                (in, out) -> {
                    out.write(
                            ("HTTP/1.1 200 x\r\n" + with(form, body.length))
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.write(Arrays.copyOf(sent, sent.length - 9));
                    out.close();
                });
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            InputStream in = client.socket().getInputStream();
            String head = head(in);
            boolean whole;
            try {
                body(head, in);
                whole = true;
            } catch (IOException e) {
                whole = false;
            }
            assertTrue(head.startsWith("HTTP/1.1 200"));
            assertEquals(false, whole);
        }
    }

    @Test
    @Timeout(PATIENCE_S)
    void aClientThatLeavesEndsTheNodesAnswer() throws Exception {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        node(
                (in, out) -> {
                    try {
                        out.write(
                                ("HTTP/1.1 200 x\r\n" + with("chunked", 0))
                                        .getBytes(StandardCharsets.US_ASCII));
                        while (true) {
                            out.write(
                                    ("10000\r\n" + "v".repeat(0x10000) + "\r\n")
                                            .getBytes(StandardCharsets.US_ASCII));
                        }
                    } catch (IOException e) {
                        ended.complete(true);
                        throw e;
                    }
                });
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            head(client.socket().getInputStream());
        }
        assertTrue(ended.get(PATIENCE_S, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    @Timeout(PATIENCE_S)
    void aLongBodyReachesTheNodeWholeAndInPieces(String form) throws Exception {
        byte[] body = noise(5_000_000);
        List<byte[]> got = new ArrayList<>();
        node(
                (in, out) -> {
                    got.add(in);
                    out.write(
                            ("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok")
                                    .getBytes(StandardCharsets.US_ASCII));
                });
        try (Peer.Wire client = site.client()) {
            for (int i = 0; i < 2; i++) {
                OutputStream out = client.socket().getOutputStream();
                out.write(
                        ("PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w"
                                        + i
                                        + "\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                                        + "Expect: 100-continue\r\nIdempotency-Key: k\r\n"
                                        + with(form, body.length))
                                .getBytes(StandardCharsets.US_ASCII));
                assertEquals(100, Site.status(client.read()));
                pieces(formed(form, body), out);
                assertEquals("ok", new Peer.Message(client.read(), client).body());
                assertArrayEquals(body, got.get(i));
            }
            assertTrue(
                    site.router.requests.get(0).uploadMs() > 0,
                    "the module is told that its time begins later");
        }
    }

    @Test
    @Timeout(PATIENCE_S)
    void aChunkedBodyThatIsTooLongIsAnsweredWhileItIsStillComing() throws Exception {
        node(
                (in, out) ->
                        out.write(
                                ("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok")
                                        .getBytes(StandardCharsets.US_ASCII)));
        try (Peer.Wire client = site.client()) {
            byte[] part = formed("chunked", noise(70_001 * 20));
            CompletableFuture<Void> sends =
                    CompletableFuture.runAsync(
                            () -> {
                                try {
                                    client.write(
                                            "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                                                    + "Idempotency-Key: k\r\n"
                                                    + with("chunked", 0));
                                    for (int i = 0; i < 30; i++) {
                                        client.socket()
                                                .getOutputStream()
                                                .write(
                                                        part,
                                                        0,
                                                        part.length
                                                                - "0\r\nX-Trailer: t\r\n\r\n"
                                                                        .length());
                                    }
                                } catch (IOException e) {
                                    // Answered already, and closed.
                                    return;
                                }
                            });
            assertEquals(413, Site.status(client.read()));
            sends.get(PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    @Test
    @Timeout(PATIENCE_S)
    void aBodyThatANodeHasHadInPartIsSentToNoOther() throws Exception {
        Peer first = new Peer();
        site = new Site();
        site.hosts =
                new String[] {
                    Site.host("c0", first.dial(), "up", 0),
                    Site.host("c1", site.node.dial(), "up", 0)
                };
        site.start("automatic", "60000", "");
        site.router.onEnd =
                (end, out) -> {
                    if (end.outcome() == Outcome.REJECTED) {
                        out.send(end.request(), "c1", 0);
                    } else if (!end.finished()) {
                        out.fail(end.request());
                    }
                };
        try (Peer.Wire client = site.client()) {
            client.write(
                    "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                            + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "20000\r\n"
                            + "v".repeat(0x20000)
                            + "\r\n");
            Peer.Message taken = first.next();
            taken.wire().answer(503, "", "X-Rejected: 1");
            assertEquals(Outcome.REJECTED, Scripted.next(site.router.ends).outcome());
            assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
            assertNotEquals(200, Site.status(client.read()));
            assertTrue(site.node.heardNothing());
        } finally {
            first.close();
        }
    }
}
