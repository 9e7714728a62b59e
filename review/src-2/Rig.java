import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
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
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Stand-ins for cache nodes, origin, discovery and clients, and the start of real proxies. */
final class Rig {
    private Rig() {}

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Seconds since the start of the script. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
    }

    static void thread(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                // The peer has closed; stand-ins end with their connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    interface Body {
        void run() throws Exception;
    }

    /** The record of a run; a line for each event. */
    static final class Record {
        private final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
        private final Path file;

        Record(Path folder) {
            file = folder.resolve("record.txt");
        }

        void add(String format, Object... values) {
            lines.add(
                    String.format(
                            Locale.ROOT, "%9.3f ", now()) + String.format(Locale.ROOT, format, values));
        }

        void write(String verdict) throws IOException {
            try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
                lines.forEach(out::println);
                out.println(verdict);
            }
            System.out.println(verdict);
        }
    }

    /** One HTTP message: the first line, fields in lower case, body. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = {};

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; null if the connection ends before it is whole. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        String first = line(in);
        if (first == null) {
            return null;
        }
        message.first = first;
        for (String field = line(in); ; field = line(in)) {
            if (field == null) {
                return null;
            }
            if (field.isEmpty()) {
                break;
            }
            int colon = field.indexOf(':');
            message.fields.put(
                    field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        if (message.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    return null;
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] part = in.readNBytes(length);
                if (part.length < length || line(in) == null) {
                    return null;
                }
                if (length == 0) {
                    break;
                }
                body.write(part);
            }
            message.body = body.toByteArray();
        } else {
            String length = message.field("content-length");
            if (!length.isEmpty()) {
                int wanted = Integer.parseInt(length);
                message.body = in.readNBytes(wanted);
                if (message.body.length < wanted) {
                    return null;
                }
            }
        }
        return message;
    }

    static byte[] response(int status, String extra, byte[] body) {
        byte[] head =
                ("HTTP/1.1 " + status + " X\r\n" + extra + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Handles a connection until it returns. */
    interface Handler {
        void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** Listens on a free loopback port; a thread for each connection. */
    static final class Server implements Closeable {
        final ServerSocket listener;
        final String address;

        Server(Handler handler) throws IOException {
            this(new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1")), handler);
        }

        Server(ServerSocket listener, Handler handler) {
            this.listener = listener;
            this.address = "127.0.0.1:" + listener.getLocalPort();
            thread(
                    () -> {
                        while (true) {
                            Socket socket = listener.accept();
                            thread(
                                    () -> {
                                        try (socket) {
                                            socket.setTcpNoDelay(true);
                                            handler.handle(
                                                    socket,
                                                    new BufferedInputStream(socket.getInputStream()),
                                                    socket.getOutputStream());
                                        }
                                    });
                        }
                    });
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** An entry of the endpoint list. */
    static final class Host {
        final String id;
        String dial;
        String kind = "std-2c";
        String zone = "bogota-1";
        String health = "up";
        double share = 1;
        long bornMs;

        Host(String id, String dial) {
            this.id = id;
            this.dial = dial;
        }

        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"%s\",\"block\":1,\"health\":\"%s\",\"share\":%s,\"born_ms\":%d}",
                    id, dial, zone, kind, health, share, bornMs);
        }
    }

    /** Discovery's agent: the whole list first, then each change; an empty line every 2 s. */
    static final class Discovery implements Closeable {
        final Map<String, Host> hosts = new LinkedHashMap<>();
        private final List<OutputStream> watches = new ArrayList<>();
        private final List<Socket> sockets = java.util.Collections.synchronizedList(new ArrayList<>());
        final java.util.concurrent.atomic.AtomicInteger calls = new java.util.concurrent.atomic.AtomicInteger();
        private final Server server;
        long version = 1;

        /** The list that a watch gets first comes in this many pieces, with a gap between them. */
        volatile int pieces = 1;

        volatile double pieceGapS;

        Discovery() throws IOException {
            server = new Server(this::handle);
        }

        String address() {
            return server.address;
        }

        private void handle(Socket socket, InputStream in, OutputStream out) throws Exception {
            Message request = read(in);
            if (request == null) {
                return;
            }
            if (!request.target().contains("watch=1")) {
                out.write(response(200, "", bytes(whole())));
                return;
            }
            calls.incrementAndGet();
            sockets.add(socket);
            String text;
            long told;
            synchronized (this) {
                text = whole() + "\n";
                told = version;
            }
            out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            int length = (text.length() + pieces - 1) / pieces;
            for (int from = 0; from < text.length(); from += length) {
                sleep(from == 0 ? 0 : pieceGapS);
                out.write(chunk(text.substring(from, Math.min(text.length(), from + length))));
                out.flush();
            }
            synchronized (this) {
                if (version != told) {
                    out.write(chunk(whole() + "\n"));
                }
                watches.add(out);
            }
            try {
                while (true) {
                    Thread.sleep(2000);
                    synchronized (this) {
                        out.write(chunk("\n"));
                    }
                }
            } finally {
                synchronized (this) {
                    watches.remove(out);
                }
            }
        }

        synchronized String whole() {
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + join(hosts.values()) + "]}";
        }

        private static String join(Iterable<Host> all) {
            List<String> texts = new ArrayList<>();
            all.forEach(h -> texts.add(h.json()));
            return String.join(",", texts);
        }

        private static byte[] chunk(String text) {
            return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Resets all open watches. */
        void resetWatches() throws IOException {
            for (Socket socket : sockets.toArray(new Socket[0])) {
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            }
            sockets.clear();
        }

        /** Tells every watch of the changed hosts. */
        synchronized void changed(Host... changed) {
            version++;
            String text =
                    "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + join(List.of(changed)) + "]}\n";
            for (OutputStream out : List.copyOf(watches)) {
                try {
                    out.write(chunk(text));
                } catch (IOException e) {
                    watches.remove(out);
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Settings of agenda-bogota with one proxy and one zone; parts can be replaced. */
    static String settings(int balancers) {
        return "{\"balancers\": " + balancers + ", \"clients\": {\"marks_retry\": false}, \"customers\": [],"
            + " \"discovery\": \"automatic\", \"domain\": {\"mode\": \"aside\", \"origin_fall_ms\": 3000.0,"
            + " \"origin_fall_multiple\": 2.5, \"origin_kind\": 3}, \"family\": \"cache\","
            + " \"kinds\": [\"std-2c\", \"wide-3c\", \"small-2c\", \"origin\"],"
            + " \"limits\": {\"cancelling\": true, \"connect_timeout_ms\": 100.0, \"idle_close_ms\": 30000.0,"
            + " \"max_open\": 20000, \"max_retry_after_ms\": 1200.0, \"peers\": false, \"probing\": true,"
            + " \"retry_after\": false, \"second_copies\": true, \"streams_per_conn\": 1, \"try_limit\": 5},"
            + " \"localities\": [\"bogota-1\", \"medellin-1\", \"cali-1\"],"
            + " \"obligations\": {\"answer_slack_ms\": 20.0, \"ask_within_ms\": 10000.0, \"cold_from\": 0.12,"
            + " \"cold_ms\": 23000.0, \"fall_ms\": 1500.0, \"fall_multiple\": 3.0, \"stop_sending_within_ms\": 2000.0},"
            + " \"over_share_worth\": 0.1, \"rank\": 0, \"report\": {\"fields\": [\"recent_ms\", \"utilization\","
            + " \"errors_per_s\"], \"how\": \"pull\"}, \"services\": ["
            + "{\"deadline_ms\": 1200.0, \"effect\": \"retryable\", \"gain\": 5.0, \"group\": \"all\", \"late_share\": 0.0,"
            + " \"name\": \"view-agenda\", \"objective_ms\": 500.0, \"repeat_window_ms\": 5000.0, \"stream\": false},"
            + "{\"deadline_ms\": 600.0, \"effect\": \"fragile\", \"gain\": 5.0, \"group\": \"all\", \"late_share\": 0.0,"
            + " \"name\": \"book-slot\", \"objective_ms\": 250.0, \"repeat_window_ms\": 5000.0, \"stream\": false},"
            + "{\"deadline_ms\": 1000.0, \"effect\": \"dedup\", \"gain\": 10.0, \"group\": \"all\", \"late_share\": 0.0,"
            + " \"name\": \"bill-plan\", \"objective_ms\": 500.0, \"repeat_window_ms\": 1500.0, \"stream\": false}],"
            + " \"tariffs\": {\"connection\": 0.0, \"cross_zone\": 0.12, \"discovery\": 0.0, \"handshake\": 0.0,"
            + " \"late_fail\": 0.08, \"moves\": 0.0, \"origin\": 0.0, \"peer\": 0.0, \"probe\": 0.01, \"waste\": 0.02},"
            + " \"tick_ms\": 5.0, \"tier\": 0, \"tiers\": [\"agenda-cache\"], \"value_by\": \"work\","
            + " \"weights\": \"live\", \"zone\": \"bogota-1\"}";
    }

    /** A free port below the range from which the system gives ports to others. */
    static int freePort() throws IOException {
        for (int attempt = 0; attempt < 1000; attempt++) {
            int port = 12_000 + (int) ((System.nanoTime() >>> 4) * 0x9E3779B1L >>> 8 & 0x3fff);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // In use: another one.
            }
        }
        throw new IOException("no free port");
    }

    /** A line of the deploy file. */
    static String deployLine(Path root, String key) throws IOException {
        for (String text : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (text.startsWith(key + " = ")) {
                int from = text.indexOf('"') + 1;
                return text.substring(from, text.indexOf('"', from));
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }

    /** One real proxy, started with the run line of the deploy file. */
    static final class Proxy {
        final Path folder;
        final Path temporary;
        final int port;
        final int adminPort;
        String discovery;
        String known;
        String settings;
        int memoryMb = 192;
        int sockets = 1024;
        String name = "n1";
        Process process;
        Path log;
        private int starts;

        Proxy(Path folder, String discovery, String settings) throws IOException {
            this.folder = folder;
            this.discovery = discovery;
            this.settings = settings;
            this.temporary = Files.createDirectories(folder.resolve("tmp"));
            this.port = freePort();
            this.adminPort = freePort();
        }

        Path writeConfig(int admin) throws IOException {
            Path file = folder.resolve("config.json");
            Path next = folder.resolve("config.next");
            Files.writeString(
                    next,
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                            + "\",\"admin\":\"127.0.0.1:" + admin + "\",\"seed\":\"8c1f30d27a5be96"
                            + (starts % 10) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                            + ",\"sockets\":" + sockets + "}," + (known == null ? "" : "\"known\":" + known + ",")
                            + "\"settings\":" + settings + "}");
            Files.move(next, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            return file;
        }

        void start() throws IOException {
            process = launch(adminPort);
        }

        Process launch(int admin) throws IOException {
            starts++;
            Path config = writeConfig(admin);
            Path root = Path.of("").toAbsolutePath();
            log = folder.resolve("proxy-" + starts + ".log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployLine(root, "run"));
            builder.directory(root.toFile());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            builder.redirectInput(new File("/dev/null"));
            Process started = builder.start();
            STARTED.add(started);
            return started;
        }

        /** Waits until GET /up is answered with 200. */
        boolean awaitReady(double seconds) throws InterruptedException {
            double end = now() + seconds;
            while (now() < end) {
                try (Client client = new Client(port)) {
                    Message answer = client.call("GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n", new byte[0], 1000);
                    if (answer != null && answer.status() == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // Not there yet.
                }
                Thread.sleep(50);
            }
            return false;
        }
    }

    /** One client's connection, one request at a time. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Sends a request and returns its answer; null if the connection ends without a whole one. */
        Message call(String head, byte[] body, int timeoutMs) throws IOException {
            byte[] start = bytes(head);
            byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            out.write(all);
            socket.setSoTimeout(timeoutMs);
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final java.util.concurrent.atomic.AtomicLong IDS =
            new java.util.concurrent.atomic.AtomicLong(System.nanoTime() & 0xffffffffL);

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static String head(String method, String key, String id, String service, double budgetS, int length) {
        return method + " /api/" + key + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + service + "\r\nX-Budget: " + String.format(Locale.ROOT, "%.3f", budgetS)
                + "\r\n" + (service.equals("bill-plan") ? "Idempotency-Key: k" + id + "\r\n" : "")
                + (length >= 0 && method.equals("PUT") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final ConcurrentLinkedQueue<Process> STARTED = new ConcurrentLinkedQueue<>();

    /** Ends all processes that were started and removes the run's folder. */
    private static void endAll(Path folder) {
        try {
            for (Process process : STARTED) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
            delete(folder);
        } catch (IOException | InterruptedException e) {
            System.out.println("left over: " + folder);
        }
    }

    /** Copies what the proxies logged as warnings into the record. */
    static void addLog(Record record, Path log, int most) throws IOException {
        Files.readAllLines(log).stream()
                .filter(l -> l.contains(" WARN ") || l.contains(" ERROR "))
                .limit(most)
                .forEach(l -> record.add("proxy's log: %s", l));
    }

    /** A folder of its own for a run; removed, and all processes ended, when the script ends. */
    static Path temporaryFolder() throws IOException {
        Path folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> endAll(folder)));
        thread(
                () -> {
                    Thread.sleep(115_000);
                    System.out.println("could not run: not finished after 115 s");
                    System.exit(COULD_NOT_RUN);
                });
        return folder;
    }

    static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (var all = Files.walk(folder)) {
                all.sorted(java.util.Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }
}
