import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for clients, cache nodes, the origin, discovery and the platform; loopback only. */
final class Stand {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START_NANOS = System.nanoTime();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Proxy::killAll));
    }

    private Stand() {}

    /** Milliseconds since the test started. */
    static double ms() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, loopback())) {
            return probe.getLocalPort();
        }
    }

    static Thread daemon(String name, ThrowingRunnable work) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                work.run();
                            } catch (IOException e) {
                                // The peer has gone, which ends this connection.
                            } catch (Exception e) {
                                Record.line("stand-in fault in " + name + ": " + e);
                            }
                        },
                        name,
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    /** The record of what was sent, answered and run. */
    static final class Record {
        private static PrintWriter out;

        static synchronized void open(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        static synchronized void line(String text) {
            String stamped = String.format(Locale.ROOT, "%9.1f %s", ms(), text);
            if (out != null) {
                out.println(stamped);
                out.flush();
            }
        }

        static void say(String text) {
            line(text);
            System.out.println(text);
        }
    }

    /** One HTTP message: its first line, its headers (lower case) and its body. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        /** Whether the message came whole. */
        boolean whole;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            String[] parts = first.split(" ");
            return parts.length < 2 ? 0 : Integer.parseInt(parts[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        if (b < 0) {
            throw new EOFException("in a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Message message = new Message();
        message.first = first;
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("in a head");
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body that the head announces. */
    static void readBody(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                body.write(in.readNBytes(size));
                readLine(in);
                if (size == 0) {
                    break;
                }
            }
        } else if (!message.header("content-length").isEmpty()) {
            int length = Integer.parseInt(message.header("content-length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("in a body");
            }
            body.write(bytes);
        }
        message.body = body.toByteArray();
        message.whole = true;
    }

    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            readBody(in, message);
        }
        return message;
    }

    static byte[] response(int status, String reason, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason + "\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** What a cache node or the origin does with one request that has come whole. */
    interface NodeWork {
        void serve(Node node, Socket socket, Message request) throws Exception;
    }

    /** A cache node or the origin: one thread for each connection. */
    static final class Node {
        final String id;
        final String kind;
        final String zone;
        final ServerSocket listener;
        final NodeWork work;
        final AtomicLong connections = new AtomicLong();
        final AtomicLong served = new AtomicLong();
        volatile String health = "up";
        volatile double bornMs;

        Node(String id, String kind, String zone, NodeWork work) throws IOException {
            this.id = id;
            this.kind = kind;
            this.zone = zone;
            this.work = work;
            this.listener = new ServerSocket(0, 1024, loopback());
            daemon(id, this::accept);
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                long number = connections.incrementAndGet();
                daemon(id + "#" + number, () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 16384);
                for (Message request = read(in); request != null; request = read(in)) {
                    if (request.path().equals("/alive")) {
                        socket.getOutputStream().write(response(200, "OK", text("ok")));
                        continue;
                    }
                    served.incrementAndGet();
                    work.serve(this, socket, request);
                }
            }
        }

        String dial() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String entry() {
            return String.format(
                    Locale.ROOT,
                    "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"%s\",\"block\":0,"
                            + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%.0f}",
                    id, dial(), zone, kind, health, bornMs);
        }
    }

    /** The discovery agent of one proxy's machine: answers at once with what it has. */
    static final class Agent {
        final ServerSocket listener;
        private final List<Node> nodes;
        private final List<OutputStream> watches = new ArrayList<>();
        private long version = 41;
        private final Map<String, String> changedAt = new LinkedHashMap<>();

        Agent(List<Node> nodes) throws IOException {
            this.nodes = nodes;
            this.listener = new ServerSocket(0, 64, loopback());
            daemon("agent", this::accept);
            daemon("heartbeat", this::beat);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon("agent-call", () -> serve(socket));
            }
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            for (Message call = read(in); call != null; call = read(in)) {
                OutputStream out = socket.getOutputStream();
                if (call.path().contains("watch=1")) {
                    synchronized (this) {
                        out.write(text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                        writeLine(out, list());
                        watches.add(out);
                    }
                } else {
                    out.write(response(200, "OK", text(list())));
                }
            }
        }

        private void beat() throws IOException {
            while (true) {
                sleep(2000);
                push("");
            }
        }

        /** Tells a change of nodes to all watches. */
        synchronized void change(Node... changed) {
            version++;
            StringBuilder entries = new StringBuilder();
            for (Node node : changed) {
                entries.append(entries.length() == 0 ? "" : ",").append(node.entry());
            }
            push("{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + entries + "]}");
        }

        private synchronized void push(String line) {
            watches.removeIf(
                    out -> {
                        try {
                            writeLine(out, line);
                            return false;
                        } catch (IOException e) {
                            return true;
                        }
                    });
        }

        private static void writeLine(OutputStream out, String line) throws IOException {
            byte[] bytes = text(line + "\n");
            out.write(text(Integer.toHexString(bytes.length) + "\r\n"));
            out.write(bytes);
            out.write(text("\r\n"));
            out.flush();
        }

        synchronized String list() {
            StringBuilder entries = new StringBuilder();
            for (Node node : nodes) {
                if (!node.health.equals("removed")) {
                    entries.append(entries.length() == 0 ? "" : ",").append(node.entry());
                }
            }
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + entries + "]}";
        }
    }

    /** The settings of a small deployment: three classes, an origin, lists that are pushed. */
    static String settings(String... replacements) {
        String json =
                """
                {"balancers":1,"clients":{"marks_retry":false},"customers":[],"discovery":"automatic",
                 "domain":{"mode":"aside","origin_fall_ms":3000.0,"origin_fall_multiple":2.5,"origin_kind":3},
                 "family":"cache","kinds":["std-2c","wide-3c","small-2c","origin"],
                 "limits":{"cancelling":true,"connect_timeout_ms":100.0,"cpu_us_per_request":0.0,
                   "cpu_us_per_s":500000,"idle_close_ms":30000.0,"max_open":20000,"max_retry_after_ms":1200.0,
                   "peers":false,"probing":true,"retry_after":false,"second_copies":true,
                   "streams_per_conn":1,"try_limit":5},
                 "localities":["bogota-1"],
                 "obligations":{"answer_slack_ms":20.0,"ask_within_ms":10000.0,"cold_from":0.12,"cold_ms":23000.0,
                   "fall_ms":1500.0,"fall_multiple":3.0,"stop_sending_within_ms":2000.0},
                 "over_share_worth":0.1,"rank":0,"report":{"fields":["recent_ms"],"how":"pull"},
                 "services":[
                   {"deadline_ms":1200.0,"effect":"retryable","gain":5.0,"group":"all","late_share":0.0,
                    "name":"view-agenda","objective_ms":500.0,"repeat_window_ms":5000.0,"stream":false},
                   {"deadline_ms":600.0,"effect":"fragile","gain":5.0,"group":"all","late_share":0.0,
                    "name":"book-slot","objective_ms":250.0,"repeat_window_ms":5000.0,"stream":false},
                   {"deadline_ms":1000.0,"effect":"dedup","gain":10.0,"group":"all","late_share":0.0,
                    "name":"bill-plan","objective_ms":500.0,"repeat_window_ms":1500.0,"stream":false}],
                 "tariffs":{"connection":0.0,"cross_zone":0.12,"discovery":0.0,"handshake":0.0,"late_fail":0.08,
                   "moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.02},
                 "tick_ms":5.0,"tier":0,"tiers":["agenda-cache"],"value_by":"work","weights":"live",
                 "zone":"bogota-1"}""";
        for (int i = 0; i + 1 < replacements.length; i += 2) {
            if (!json.contains(replacements[i])) {
                throw new IllegalArgumentException("settings have no " + replacements[i]);
            }
            json = json.replace(replacements[i], replacements[i + 1]);
        }
        return json;
    }

    /** A real proxy, started as the platform does, with the run line of the deploy file. */
    static final class Proxy {
        static final List<Process> ALL = new ArrayList<>();
        final String name;
        final Path directory;
        final int port;
        final int adminPort;
        private String discovery;
        Process process;

        Proxy(String name, Path directory) throws IOException {
            this.name = name;
            this.directory = Files.createDirectories(directory);
            this.port = freePort();
            this.adminPort = freePort();
        }

        void configure(Agent agent, String settings, int memoryMb, int sockets, boolean admin)
                throws IOException {
            discovery = agent.address();
            Path fresh = directory.resolve("config.new");
            Files.writeString(
                    fresh,
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                            + agent.address() + "\","
                            + (admin ? "\"admin\":\"127.0.0.1:" + adminPort + "\"," : "")
                            + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                            + memoryMb + ",\"sockets\":" + sockets + "},\"known\":" + agent.list()
                            + ",\"settings\":" + settings + "}");
            Files.move(
                    fresh,
                    directory.resolve("config.json"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            Path root = Path.of(System.getProperty("root"));
            Matcher run =
                    Pattern.compile("(?m)^run = \"(.*?)\"\\s*(#.*)?$")
                            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("deploy/balancer.toml has no run line");
            }
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
            Path temporary = directory.resolve("tmp");
            Files.createDirectories(temporary);
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("BALANCER_DISCOVERY", discovery);
            builder.environment()
                    .put("BALANCER_CONFIG", directory.resolve("config.json").toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(directory.resolve("proxy.log").toFile()));
            process = builder.start();
            synchronized (ALL) {
                ALL.add(process);
            }
        }

        /** Waits until the proxy says that it is ready. */
        void awaitReady() throws IOException {
            for (int i = 0; i < 600; i++) {
                try (Client client = new Client(port)) {
                    client.send(text("GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"));
                    if (client.receive(1000).status() == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // Not up yet.
                }
                if (!process.isAlive()) {
                    throw new IOException("the proxy ended with " + process.exitValue());
                }
                sleep(50);
            }
            throw new IOException("the proxy is not ready after 30 s");
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            Record.line("signal " + signal + " to " + name);
        }

        static void killAll() {
            synchronized (ALL) {
                ALL.forEach(Process::destroyForcibly);
            }
        }
    }

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(loopback(), port), 3000);
            in = new java.io.BufferedInputStream(socket.getInputStream(), 8192);
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Waits for a whole answer; throws at an end, a reset or a time-out. */
        Message receive(int timeoutMs) throws IOException {
            socket.setSoTimeout(Math.max(1, timeoutMs));
            Message answer = read(in);
            if (answer == null) {
                throw new EOFException("connection closed with no answer");
            }
            return answer;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed all the same.
            }
        }
    }

    private static final AtomicLong NEXT_ID =
            new AtomicLong(System.nanoTime() & 0xffffffffffffL);

    static String newId() {
        return String.format("%016x", NEXT_ID.incrementAndGet());
    }

    static byte[] get(String key, String id, double budgetMs) {
        return text(
                String.format(
                        Locale.ROOT,
                        "GET /api/%s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\n"
                                + "X-Call-Class: view-agenda\r\nX-Budget: %.3f\r\n\r\n",
                        key, id, budgetMs / 1000));
    }

    static byte[] put(String service, String key, String id, double budgetMs, byte[] body) {
        byte[] head =
                text(
                        String.format(
                                Locale.ROOT,
                                "PUT /api/%s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\n"
                                        + "X-Call-Class: %s\r\nX-Budget: %.3f\r\n%sContent-Length: %d\r\n\r\n",
                                key,
                                id,
                                service,
                                budgetMs / 1000,
                                service.equals("bill-plan") ? "Idempotency-Key: k" + id + "\r\n" : "",
                                body.length));
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Exit codes of a play; any other one, as of an exception, means that it could not run. */
    static final int HELD = 10;

    static final int BROKEN = 11;
    static final int COULD_NOT_RUN = 12;

    /** Ends all processes that the test started, and the test. */
    static void finish(int code) {
        Proxy.killAll();
        System.exit(code);
    }
}
