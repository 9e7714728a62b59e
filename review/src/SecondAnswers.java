import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Cache nodes and the origin send one answer in ten a second time, some milliseconds later. Each
 * answer 200 that a client gets must be the one that was given for its request, and a write that is
 * answered 200 must have run.
 */
final class SecondAnswers {

    private static final int NODES = 9;
    private static final int CLIENTS = 24;
    private static final int KEYS = 400;
    private static final double PLAY_MS = 30_000;
    private static final double MEAN_PAUSE_MS = 100;
    private static final double SECOND_SHARE = 0.1;
    private static final double SECOND_AFTER_MIN_MS = 1;
    private static final double SECOND_AFTER_MAX_MS = 9;
    private static final double WRITE_SHARE = 0.25;
    private static final int WRITE_BYTES = 500_000;

    private static final AtomicLong ANSWERS = new AtomicLong();
    private static final AtomicLong SECONDS = new AtomicLong();
    private static final AtomicLong OWN = new AtomicLong();
    private static final AtomicLong FOREIGN_READS = new AtomicLong();
    private static final AtomicLong FOREIGN_WRITES = new AtomicLong();
    private static final AtomicLong NOT_SERVED = new AtomicLong();

    /** The ids of the writes whose last byte has come to the origin. */
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    /** The ids of the writes that were answered 200. */
    private static final Set<String> CONFIRMED = ConcurrentHashMap.newKeySet();

    private SecondAnswers() {}

    private static String value(String path, String id) {
        return "answer of " + path + " for " + id;
    }

    private static void serve(Stand.Node node, Socket socket, Stand.Message request)
            throws IOException {
        String id = request.header("x-call-id");
        if (request.method().equals("PUT")) {
            RUN.add(id);
        }
        Stand.sleep(ThreadLocalRandom.current().nextDouble(5, 25));
        byte[] answer =
                Stand.response(
                        200, "OK", Stand.text(value(request.path(), id)), "X-Hit: hit");
        synchronized (socket) {
            socket.getOutputStream().write(answer);
        }
        ANSWERS.incrementAndGet();
        if (Stand.TROUBLE && ThreadLocalRandom.current().nextDouble() < SECOND_SHARE) {
            double after =
                    ThreadLocalRandom.current()
                            .nextDouble(SECOND_AFTER_MIN_MS, SECOND_AFTER_MAX_MS);
            Stand.daemon(
                    "second",
                    () -> {
                        Stand.sleep(after);
                        synchronized (socket) {
                            socket.getOutputStream().write(answer);
                        }
                        SECONDS.incrementAndGet();
                        Stand.Record.line(
                                String.format(
                                        Locale.ROOT,
                                        "%s: second answer for %s, %.1f ms after the first",
                                        node.id, id, after));
                    });
        }
    }

    private static void ask(Stand.Proxy proxy, double end) throws IOException {
        Stand.Client client = null;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        while (Stand.ms() < end) {
            String id = Stand.newId();
            // Half of the requests ask for a tenth of the keys.
            String key = Integer.toHexString(random.nextInt(random.nextBoolean() ? KEYS : KEYS / 10));
            boolean write = random.nextDouble() < WRITE_SHARE;
            boolean closes = true;
            try {
                client = client == null ? new Stand.Client(proxy.port) : client;
                client.send(
                        write
                                ? Stand.put("bill-plan", key, id, 1000, new byte[WRITE_BYTES])
                                : Stand.get(key, id, 1200));
                Stand.Message answer = client.receive(2000);
                closes = answer.header("connection").equalsIgnoreCase("close");
                String body = new String(answer.body, java.nio.charset.StandardCharsets.UTF_8);
                if (write && answer.status() == 200) {
                    CONFIRMED.add(id);
                }
                if (answer.status() != 200) {
                    NOT_SERVED.incrementAndGet();
                } else if (body.equals(value("/api/" + key, id))) {
                    OWN.incrementAndGet();
                } else {
                    (write ? FOREIGN_WRITES : FOREIGN_READS).incrementAndGet();
                    Stand.Record.line(
                            "FOREIGN " + (write ? "PUT" : "GET") + " /api/" + key + " for " + id
                                    + " got 200: " + body);
                }
            } catch (IOException e) {
                NOT_SERVED.incrementAndGet();
                Stand.Record.line("no answer to " + id + ": " + e.getMessage());
            }
            if (closes && client != null) {
                client.close();
                client = null;
            }
            Stand.sleep(random.nextDouble(0, 2 * MEAN_PAUSE_MS));
        }
    }

    public static void main(String[] args) throws Exception {
        Stand.Record.open(Path.of(args[0]).resolve("record.txt"));
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Stand.Node("node-" + i, "std-2c", "bogota-1", SecondAnswers::serve));
        }
        nodes.add(new Stand.Node("origin-0", "origin", "bogota-1", SecondAnswers::serve));
        Stand.Agent agent = new Stand.Agent(nodes);
        Stand.Proxy proxy = new Stand.Proxy("n1", Path.of(args[1]).resolve("n1"));
        proxy.configure(agent, Stand.settings(), 192, 1024, false);
        proxy.start();
        proxy.awaitReady();
        Stand.Record.say("the proxy is ready");
        double end = Stand.ms() + PLAY_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Stand.daemon("client", () -> ask(proxy, end)));
        }
        for (Thread client : clients) {
            client.join(40_000);
        }
        Stand.Record.say(
                "answers of nodes " + ANSWERS + ", sent a second time " + SECONDS
                        + "; clients: own answer " + OWN + ", not served " + NOT_SERVED);
        Stand.Record.say(
                "answered 200 with another request's answer: reads " + FOREIGN_READS
                        + ", writes " + FOREIGN_WRITES);
        Stand.sleep(2000);
        CONFIRMED.removeAll(RUN);
        CONFIRMED.forEach(id -> Stand.Record.line("NEVER RUN, though answered 200: PUT " + id));
        Stand.Record.say("writes answered 200 that never ran: " + CONFIRMED.size());
        boolean broken = FOREIGN_READS.get() + FOREIGN_WRITES.get() > 0;
        Stand.Record.say(
                broken ? "RULE BROKEN: served with an answer made for another request" : "rule held");
        Stand.finish(
                broken ? Stand.BROKEN : OWN.get() == 0 ? Stand.COULD_NOT_RUN : Stand.HELD);
    }
}
