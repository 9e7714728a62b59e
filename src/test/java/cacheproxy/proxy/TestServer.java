package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A scripted server on the loopback address: the messages it reads are queued, and the test writes
 * each response.
 */
final class TestServer implements Closeable {

    /** How long tests wait for something that is expected to happen. */
    static final long TIMEOUT_S = 30;

    /**
     * A message and the connection that it was read from; a null text means that the other side
     * closed the connection.
     */
    record Message(String text, Connection connection) {
        String header(String name) {
            return text.lines()
                    .filter(l -> l.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(l -> l.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }

        String firstLine() {
            return text.lines().findFirst().orElse("");
        }

        String body() {
            return text.substring(text.indexOf("\r\n\r\n") + 4);
        }
    }

    /** One end of a TCP connection. */
    record Connection(Socket socket, int number) implements Closeable {

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void respond(int status, String body, String... headers) throws IOException {
            String headerLines = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
            write(
                    "HTTP/1.1 "
                            + status
                            + " x\r\nContent-Length: "
                            + body.length()
                            + "\r\n"
                            + headerLines
                            + "\r\n"
                            + body);
        }

        /** Reads one message with its body; returns null if the other side has closed. */
        String read() throws IOException {
            InputStream in = socket.getInputStream();
            String text = readUntil("\r\n\r\n", in);
            if (text == null) {
                return null;
            }
            String length = new Message(text, this).header("Content-Length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            return text + new String(body, StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private final ServerSocket server;
    private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    TestServer() throws IOException {
        this(0);
    }

    /** Binds a given port, which may have been used before; 0 binds a free port. */
    TestServer(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept, "peer");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the next message, with a null text if a connection was closed instead. */
    Message next() throws InterruptedException {
        Message message = messages.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("timed out waiting for a message");
        }
        return message;
    }

    /** Returns the next message; waits without a limit. */
    Message await() throws InterruptedException {
        return messages.take();
    }

    boolean receivedNothing() {
        return messages.isEmpty();
    }

    /**
     * Reads up to and including the given text; returns null if the other side closes before that.
     */
    static String readUntil(String end, InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < end.length()
                || !text.substring(text.length() - end.length()).equals(end)) {
            int value = in.read();
            if (value < 0) {
                return null;
            }
            text.append((char) value);
        }
        return text.toString();
    }

    /** Reads a chunked body; returns null if the connection ends before the last chunk. */
    static String readChunkedBody(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = readUntil("\r\n", in);
            if (size == null) {
                return null;
            }
            byte[] chunk = in.readNBytes(Integer.parseInt(size.trim(), 16));
            body.append(new String(chunk, StandardCharsets.ISO_8859_1));
            if (readUntil("\r\n", in) == null) {
                return null;
            }
            if (chunk.length == 0) {
                return body.toString();
            }
        }
    }

    /** Sends one call to an operators' address and returns the response. */
    static String callOperators(InetSocketAddress admin, String requestLine) throws IOException {
        try (Connection operator = connect(admin)) {
            operator.write(requestLine + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
            String answer = operator.read();
            assertNull(operator.read(), "an operators' connection should close after one call");
            return answer;
        }
    }

    static Connection connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        return new Connection(socket, 0);
    }

    private void accept() {
        try {
            for (int number = 0; ; number++) {
                Connection connection = new Connection(server.accept(), number);
                sockets.add(connection.socket());
                Thread reader = new Thread(() -> read(connection), "peer-" + number);
                reader.setDaemon(true);
                reader.start();
            }
        } catch (IOException e) {
            return;
        }
    }

    private void read(Connection connection) {
        String text = "";
        while (text != null) {
            try {
                text = connection.read();
            } catch (IOException e) {
                text = null;
            }
            messages.add(new Message(text, connection));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
