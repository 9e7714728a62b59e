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

/** Long messages are streamed in both directions, in pieces of any size, and arrive unchanged. */
class StreamingTest {

    private static final int TIMEOUT_S = 60;
    private static final int LONG_BODY_BYTES = 32 << 20;

    /** What the node does with a connection once it has read the head and body of a request. */
    private interface NodeScript {
        void play(byte[] body, OutputStream out) throws Exception;
    }

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket server;
    private ProxyFixture fixture;

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
        fixture.close();
    }

    private void startNode(NodeScript script) throws Exception {
        fixture = new ProxyFixture();
        Thread acceptor =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket socket = server.accept();
                                    sockets.add(socket);
                                    Thread thread = new Thread(() -> play(socket, script), "node");
                                    thread.setDaemon(true);
                                    thread.start();
                                }
                            } catch (IOException e) {
                                return;
                            }
                        },
                        "accepts");
        acceptor.setDaemon(true);
        acceptor.start();
        fixture.hosts =
                new String[] {
                    ProxyFixture.host("c0", "127.0.0.1:" + server.getLocalPort(), "up", 0)
                };
        fixture.start("automatic", "60000", "");
    }

    private static void play(Socket socket, NodeScript script) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                String head = readHead(in);
                script.play(readBody(head, in), socket.getOutputStream());
            }
        } catch (Exception e) {
            return;
        }
    }

    private static String readHead(InputStream in) throws IOException {
        return readUntil("\r\n\r\n", in);
    }

    private static String readUntil(String end, InputStream in) throws IOException {
        String text = TestServer.readUntil(end, in);
        if (text == null) {
            throw new IOException("closed");
        }
        return text;
    }

    private static String header(String head, String name) {
        return new TestServer.Message(head, null).header(name);
    }

    /** Reads a body as its head says; throws if it is truncated. */
    private static byte[] readBody(String head, InputStream in) throws IOException {
        var out = new ByteArrayOutputStream();
        if ("chunked".equals(header(head, "transfer-encoding"))) {
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                out.write(readExactly(in, size));
                readExactly(in, 2);
            }
            readExactly(in, 2);
        } else if (header(head, "content-length") != null) {
            out.write(readExactly(in, Integer.parseInt(header(head, "content-length"))));
        }
        return out.toByteArray();
    }

    private static int readChunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readUntil("\r\n", in).trim(), 16);
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("closed");
        }
        return bytes;
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    /** Writes the bytes in pieces of random size. */
    private static void writeInPieces(byte[] bytes, OutputStream out) throws IOException {
        Random random = new Random(7);
        for (int offset = 0; offset < bytes.length; ) {
            int piece =
                    Math.min(
                            bytes.length - offset,
                            1 + random.nextInt(random.nextInt(10) == 0 ? 400_000 : 3000));
            out.write(bytes, offset, piece);
            offset += piece;
        }
    }

    private static String framingHeaders(String framing, int length) {
        return switch (framing) {
            case "length" -> "Content-Length: " + length + "\r\n\r\n";
            case "chunked" -> "Transfer-Encoding: chunked\r\n\r\n";
            default -> "Connection: close\r\n\r\n";
        };
    }

    private static byte[] encoded(String framing, byte[] body) throws IOException {
        if (!framing.equals("chunked")) {
            return body;
        }
        var out = new ByteArrayOutputStream();
        for (int offset = 0; offset < body.length; offset += 70_001) {
            int size = Math.min(70_001, body.length - offset);
            out.write(
                    (Integer.toHexString(size) + ";ext=\"a b\"\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            out.write(body, offset, size);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return out.toByteArray();
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    @Timeout(TIMEOUT_S)
    void longResponseArrivesCompleteInEachFraming(String framing) throws Exception {
        byte[] body = randomBytes(3_000_000);
        startNode(
                (in, out) -> {
                    writeInPieces(
                            ("HTTP/1.1 200 x\r\n" + framingHeaders(framing, body.length))
                                    .getBytes(StandardCharsets.US_ASCII),
                            out);
                    writeInPieces(encoded(framing, body), out);
                    if (framing.equals("close")) {
                        out.close();
                    }
                });
        try (TestServer.Connection client = fixture.client()) {
            for (int i = 0; i < 2; i++) {
                client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
                InputStream in = client.socket().getInputStream();
                String head = readHead(in);
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                assertArrayEquals(body, readBody(head, in));
                assertEquals(
                        Outcome.OK, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            }
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void responsesOf32MbAreStreamedToSlowReadersBesideSmallRequests() throws Exception {
        byte[] body = randomBytes(LONG_BODY_BYTES);
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(body);
        // Four are twice the memory of the smallest proxy, and the most requests that may be open
        // here.
        int readers = 4;
        CountDownLatch begun = new CountDownLatch(readers);
        startNode(
                (in, out) -> {
                    out.write(
                            ("HTTP/1.1 200 x\r\n" + framingHeaders("length", body.length))
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                });
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.service().equals("read")) {
                        out.send(request.id(), "c0", 0);
                    } else {
                        out.reject(request.id(), 0);
                    }
                };
        List<CompletableFuture<byte[]>> all = new ArrayList<>();
        long usedBefore = PlatformDependent.usedDirectMemory();
        for (int i = 0; i < readers; i++) {
            all.add(
                    CompletableFuture.supplyAsync(
                            () -> readSlowly(body.length, begun),
                            r -> new Thread(r, "reader").start()));
        }
        long maxUsed = 0;
        while (!all.stream().allMatch(CompletableFuture::isDone)) {
            maxUsed = Math.max(maxUsed, PlatformDependent.usedDirectMemory() - usedBefore);
            try (TestServer.Connection small = fixture.client()) {
                small.write(ProxyFixture.put("Idempotency-Key: k\r\n", "v"));
                assertEquals(
                        503,
                        ProxyFixture.status(small.read()),
                        "others should be answered meanwhile");
            }
        }
        for (CompletableFuture<byte[]> one : all) {
            assertArrayEquals(digest, one.get(1, TimeUnit.SECONDS));
        }
        assertTrue(maxUsed < 8 << 20, "bytes of direct memory used: " + maxUsed);
    }

    /**
     * Reads only the head until all readers have theirs: until then every response is stalled by
     * backpressure.
     */
    private byte[] readSlowly(int length, CountDownLatch begun) {
        try (TestServer.Connection client = fixture.client()) {
            String request;
            synchronized (fixture) {
                request = fixture.get(ProxyFixture.LONG_BUDGET_S);
            }
            client.write(request);
            InputStream in = client.socket().getInputStream();
            assertEquals(200, ProxyFixture.status(readHead(in)));
            begun.countDown();
            begun.await();
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] piece = new byte[100_000];
            for (int remaining = length; remaining > 0; ) {
                int count = in.read(piece, 0, Math.min(piece.length, remaining));
                if (count < 0) {
                    throw new IOException("response truncated");
                }
                digest.update(piece, 0, count);
                remaining -= count;
            }
            return digest.digest();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    @Timeout(TIMEOUT_S)
    void truncatedResponseIsRecognisable(String framing) throws Exception {
        byte[] body = randomBytes(300_000);
        byte[] sent = encoded(framing, body);
        startNode(
                (in, out) -> {
                    out.write(
                            ("HTTP/1.1 200 x\r\n" + framingHeaders(framing, body.length))
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.write(Arrays.copyOf(sent, sent.length - 9));
                    out.close();
                });
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            InputStream in = client.socket().getInputStream();
            String head = readHead(in);
            boolean complete;
            try {
                readBody(head, in);
                complete = true;
            } catch (IOException e) {
                complete = false;
            }
            assertTrue(head.startsWith("HTTP/1.1 200"));
            assertEquals(false, complete);
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void clientDisconnectEndsTheNodesResponse() throws Exception {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        startNode(
                (in, out) -> {
                    try {
                        out.write(
                                ("HTTP/1.1 200 x\r\n" + framingHeaders("chunked", 0))
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
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            readHead(client.socket().getInputStream());
        }
        assertTrue(ended.get(TIMEOUT_S, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    @Timeout(TIMEOUT_S)
    void longBodyReachesTheNodeComplete(String framing) throws Exception {
        byte[] body = randomBytes(5_000_000);
        List<byte[]> got = new ArrayList<>();
        startNode(
                (in, out) -> {
                    got.add(in);
                    out.write(
                            ("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok")
                                    .getBytes(StandardCharsets.US_ASCII));
                });
        try (TestServer.Connection client = fixture.client()) {
            for (int i = 0; i < 2; i++) {
                OutputStream out = client.socket().getOutputStream();
                out.write(
                        ("PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w"
                                        + i
                                        + "\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                                        + "Expect: 100-continue\r\nIdempotency-Key: k\r\n"
                                        + framingHeaders(framing, body.length))
                                .getBytes(StandardCharsets.US_ASCII));
                assertEquals(100, ProxyFixture.status(client.read()));
                writeInPieces(encoded(framing, body), out);
                assertEquals("ok", new TestServer.Message(client.read(), client).body());
                assertArrayEquals(body, got.get(i));
            }
            assertTrue(
                    fixture.router.requests.get(0).uploadMs() > 0,
                    "the router should get the time that the upload may take");
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void tooLongChunkedBodyIsRejectedWhileItArrives() throws Exception {
        startNode(
                (in, out) ->
                        out.write(
                                ("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok")
                                        .getBytes(StandardCharsets.US_ASCII)));
        try (TestServer.Connection client = fixture.client()) {
            byte[] part = encoded("chunked", randomBytes(70_001 * 20));
            CompletableFuture<Void> sending =
                    CompletableFuture.runAsync(
                            () -> {
                                try {
                                    client.write(
                                            "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                                                    + "Idempotency-Key: k\r\n"
                                                    + framingHeaders("chunked", 0));
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
                                    // Already answered and closed.
                                    return;
                                }
                            });
            assertEquals(413, ProxyFixture.status(client.read()));
            sending.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void bodySentInPartToOneNodeIsNotSentToAnother() throws Exception {
        TestServer first = new TestServer();
        fixture = new ProxyFixture();
        fixture.hosts =
                new String[] {
                    ProxyFixture.host("c0", first.dial(), "up", 0),
                    ProxyFixture.host("c1", fixture.node.dial(), "up", 0)
                };
        fixture.start("automatic", "60000", "");
        fixture.router.onEnd =
                (end, out) -> {
                    if (end.outcome() == Outcome.REJECTED) {
                        out.send(end.request(), "c1", 0);
                    } else if (!end.finished()) {
                        out.fail(end.request());
                    }
                };
        try (TestServer.Connection client = fixture.client()) {
            client.write(
                    "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n"
                            + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "20000\r\n"
                            + "v".repeat(0x20000)
                            + "\r\n");
            TestServer.Message taken = first.next();
            taken.connection().respond(503, "", "X-Rejected: 1");
            assertEquals(
                    Outcome.REJECTED,
                    ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            assertEquals(
                    Outcome.NEVER_SENT,
                    ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            assertNotEquals(200, ProxyFixture.status(client.read()));
            assertTrue(fixture.node.receivedNothing());
        } finally {
            first.close();
        }
    }
}
