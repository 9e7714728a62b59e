import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writers send bodies of 64,000 bytes at 64 kB a second; readers send small reads beside them. Each
 * request whose last byte was written must get a whole answer within its time and half a second.
 */
final class SlowBodies {

    private static final int WRITERS = 192;
    private static final int READERS = 8;
    private static final int BODY_BYTES = 64_000;
    private static final int PIECE_BYTES = 1100;
    private static final double BYTES_PER_MS = 64;
    private static final double START_SPREAD_MS = 2000;
    private static final double PLAY_MS = 20_000;
    private static final double READ_BUDGET_MS = 1200;
    private static final double WRITE_BUDGET_MS = 1000;

    /** After its time an answer earns nothing for half a second; 50 ms more for sockets. */
    private static final double GRACE_MS = 550;

    private static final AtomicLong SENT = new AtomicLong();
    private static final AtomicLong SERVED = new AtomicLong();
    private static final AtomicLong REFUSED = new AtomicLong();
    private static final AtomicLong FAILED = new AtomicLong();
    private static final AtomicLong LOST_READS = new AtomicLong();
    private static final AtomicLong LOST_WRITES = new AtomicLong();
    private static final AtomicLong NOT_TAKEN = new AtomicLong();
    private static final AtomicLong RUN = new AtomicLong();

    private static double end;

    private SlowBodies() {}

    private static void serve(Stand.Node node, Socket socket, Stand.Message request)
            throws IOException {
        RUN.incrementAndGet();
        Stand.sleep(5);
        socket.getOutputStream().write(Stand.response(200, "OK", Stand.text("ok"), "X-Hit: hit"));
    }

    private static void count(Stand.Message answer) {
        switch (answer.status()) {
            case 200 -> SERVED.incrementAndGet();
            case 429, 503 -> REFUSED.incrementAndGet();
            default -> FAILED.incrementAndGet();
        }
    }

    /** Waits for the answer to a request that has been written whole; null if it is lost. */
    private static Stand.Message answer(
            Stand.Client client, String id, double budgetMs, AtomicLong lost) {
        double sentAt = Stand.ms();
        SENT.incrementAndGet();
        try {
            Stand.Message answer = client.receive((int) (budgetMs + GRACE_MS));
            count(answer);
            return answer;
        } catch (SocketTimeoutException e) {
            lost.incrementAndGet();
            Stand.Record.line(
                    String.format(
                            "LOST %s: no answer %.0f ms after its last byte",
                            id, Stand.ms() - sentAt));
        } catch (IOException e) {
            lost.incrementAndGet();
            Stand.Record.line("LOST " + id + ": written whole, then " + e.getMessage());
        }
        return null;
    }

    private static void read(Stand.Proxy proxy) throws IOException {
        Stand.Client client = null;
        while (Stand.ms() < end) {
            Stand.Message answer = null;
            try {
                client = client == null ? new Stand.Client(proxy.port) : client;
                String id = Stand.newId();
                client.send(Stand.get(key(), id, READ_BUDGET_MS));
                answer = answer(client, id, READ_BUDGET_MS, LOST_READS);
            } catch (IOException e) {
                Stand.Record.line("reader: " + e.getMessage());
            }
            if (client != null && (answer == null || closes(answer))) {
                client.close();
                client = null;
            }
            Stand.sleep(100);
        }
    }

    private static String key() {
        return Integer.toHexString(ThreadLocalRandom.current().nextInt(1000));
    }

    private static void write(Stand.Proxy proxy, int number) {
        Stand.sleep(START_SPREAD_MS * number / WRITERS);
        Stand.Client client = null;
        while (Stand.ms() < end) {
            Stand.Message answer = null;
            try {
                if (!Stand.TROUBLE) {
                    Stand.sleep(BODY_BYTES / BYTES_PER_MS);
                }
                if (client == null) {
                    client = servedBefore(proxy);
                }
                String id = Stand.newId();
                byte[] request =
                        Stand.put("bill-plan", key(), id, WRITE_BUDGET_MS, new byte[BODY_BYTES]);
                if (Stand.TROUBLE) {
                    sendSlowly(client, request);
                } else {
                    client.send(request);
                }
                answer = answer(client, id, WRITE_BUDGET_MS, LOST_WRITES);
            } catch (IOException e) {
                NOT_TAKEN.incrementAndGet();
                Stand.Record.line("not taken: ended before its last byte, " + e.getMessage());
            }
            if (answer == null || closes(answer)) {
                if (client != null) {
                    client.close();
                }
                client = null;
                Stand.sleep(100);
            }
        }
    }

    private static boolean closes(Stand.Message answer) {
        return answer.header("connection").equalsIgnoreCase("close");
    }

    /** A connection on which a small read has been answered, as far as the proxy keeps it open. */
    private static Stand.Client servedBefore(Stand.Proxy proxy) throws IOException {
        Stand.Client client = new Stand.Client(proxy.port);
        String id = Stand.newId();
        client.send(Stand.get(key(), id, READ_BUDGET_MS));
        Stand.Message answer = answer(client, id, READ_BUDGET_MS, LOST_READS);
        if (answer != null && !closes(answer)) {
            return client;
        }
        client.close();
        return new Stand.Client(proxy.port);
    }

    private static void sendSlowly(Stand.Client client, byte[] request) throws IOException {
        OutputStream out = client.socket.getOutputStream();
        double startedAt = Stand.ms();
        for (int at = 0; at < request.length; at += PIECE_BYTES) {
            out.write(request, at, Math.min(PIECE_BYTES, request.length - at));
            if (client.in.available() > 0) {
                throw new IOException("answered before its last byte");
            }
            Stand.sleep(Math.max(0, at / BYTES_PER_MS - (Stand.ms() - startedAt)));
        }
    }

    public static void main(String[] args) throws Exception {
        Stand.Record.open(Path.of(args[0]).resolve("record.txt"));
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            nodes.add(new Stand.Node("node-" + i, "std-2c", "bogota-1", SlowBodies::serve));
        }
        nodes.add(new Stand.Node("origin-0", "origin", "bogota-1", SlowBodies::serve));
        Stand.Agent agent = new Stand.Agent(nodes);
        Stand.Proxy proxy = new Stand.Proxy("n1", Path.of(args[1]).resolve("n1"));
        proxy.configure(agent, Stand.settings(), 152, 608, false);
        proxy.start();
        proxy.awaitReady();
        Stand.Record.say(
                "the proxy is ready; "
                        + WRITERS
                        + (Stand.TROUBLE
                                ? " clients write bodies at 64 kB a second"
                                : " clients write bodies at once"));
        end = Stand.ms() + PLAY_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            clients.add(Stand.daemon("reader", () -> read(proxy)));
        }
        for (int i = 0; i < WRITERS; i++) {
            int number = i;
            clients.add(Stand.daemon("writer", () -> write(proxy, number)));
        }
        for (Thread client : clients) {
            client.join(40_000);
        }
        Stand.Record.say(
                "requests written whole " + SENT + ", run at nodes " + RUN + ", served " + SERVED
                        + ", refused " + REFUSED + ", failed " + FAILED + ", not taken " + NOT_TAKEN);
        Stand.Record.say("lost: reads " + LOST_READS + ", writes " + LOST_WRITES);
        boolean up = false;
        for (int i = 0; i < 5 && !up; i++) {
            try (Stand.Client client = new Stand.Client(proxy.port)) {
                client.send(Stand.text("GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"));
                up = client.receive(1000).status() == 200;
            } catch (IOException e) {
                Stand.Record.line("GET /up: " + e.getMessage());
            }
        }
        Stand.Record.say(
                "after all clients have gone: GET /up "
                        + (up ? "answered" : "not answered for 5 s")
                        + ", process "
                        + (proxy.process.isAlive() ? "alive" : "ended"));
        boolean lost = LOST_READS.get() + LOST_WRITES.get() > 0;
        Stand.Record.say(lost ? "RULE BROKEN: lost requests" : "rule held");
        Stand.finish(
                lost ? Stand.BROKEN : SERVED.get() == 0 ? Stand.COULD_NOT_RUN : Stand.HELD);
    }
}
