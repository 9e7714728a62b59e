import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Cache nodes take seconds to write long answers, in pieces. An answer of more than 64 KiB that a
 * node still gives must not be cut off.
 */
final class SlowAnswers {

    private static final int NODES = 9;
    private static final int CLIENTS = 6;
    private static final int ANSWER_BYTES = 400_000;
    private static final int PIECE_BYTES = 16_000;
    private static final double PIECE_PAUSE_MS = 100;
    private static final double PLAY_MS = 20_000;
    private static final double BUDGET_MS = 1200;

    private static final AtomicLong GIVEN = new AtomicLong();
    private static final AtomicLong CUT = new AtomicLong();
    private static final AtomicLong WHOLE = new AtomicLong();
    private static final AtomicLong REFUSED = new AtomicLong();
    private static final AtomicLong OTHER = new AtomicLong();
    private static final AtomicLong CLIENTS_BROKEN = new AtomicLong();

    private SlowAnswers() {}

    private static void serve(Stand.Node node, Socket socket, Stand.Message request)
            throws IOException {
        String id = request.header("x-call-id");
        OutputStream out = socket.getOutputStream();
        out.write(
                Stand.text(
                        "HTTP/1.1 200 OK\r\nX-Hit: hit\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int written = 0;
        try {
            while (written < ANSWER_BYTES) {
                int size = Math.min(PIECE_BYTES, ANSWER_BYTES - written);
                byte[] piece = new byte[size];
                out.write(Stand.text(Integer.toHexString(size) + "\r\n"));
                out.write(piece);
                out.write(Stand.text("\r\n"));
                written += size;
                if (Stand.TROUBLE) {
                    Stand.sleep(PIECE_PAUSE_MS);
                }
            }
            out.write(Stand.text("0\r\n\r\n"));
            GIVEN.incrementAndGet();
            Stand.Record.line(node.id + " gave the whole answer to " + id);
        } catch (IOException e) {
            CUT.incrementAndGet();
            Stand.Record.line(
                    "CUT OFF: " + node.id + " had written " + written + " bytes for " + id
                            + ", then " + e.getMessage());
            throw e;
        }
    }

    private static void ask(Stand.Proxy proxy, double end) throws IOException {
        Stand.Client client = null;
        while (Stand.ms() < end) {
            String id = Stand.newId();
            String key = Integer.toHexString(ThreadLocalRandom.current().nextInt(1000));
            boolean closes = true;
            try {
                client = client == null ? new Stand.Client(proxy.port) : client;
                double sentAt = Stand.ms();
                client.send(Stand.get(key, id, BUDGET_MS));
                Stand.Message answer = client.receive(15_000);
                closes = answer.header("connection").equalsIgnoreCase("close");
                if (answer.status() == 200 && answer.body.length == ANSWER_BYTES) {
                    WHOLE.incrementAndGet();
                } else if (answer.status() == 503 || answer.status() == 429) {
                    REFUSED.incrementAndGet();
                } else {
                    OTHER.incrementAndGet();
                }
                Stand.Record.line(
                        String.format(
                                "client: %s after %.0f ms: %s, %d bytes",
                                id, Stand.ms() - sentAt, answer.first, answer.body.length));
            } catch (IOException e) {
                CLIENTS_BROKEN.incrementAndGet();
                Stand.Record.line("client: " + id + ": " + e.getMessage());
            }
            if (closes && client != null) {
                client.close();
                client = null;
            }
            Stand.sleep(200);
        }
    }

    public static void main(String[] args) throws Exception {
        Stand.Record.open(Path.of(args[0]).resolve("record.txt"));
        List<Stand.Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Stand.Node("node-" + i, "std-2c", "bogota-1", SlowAnswers::serve));
        }
        nodes.add(new Stand.Node("origin-0", "origin", "bogota-1", SlowAnswers::serve));
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
            client.join(60_000);
        }
        Stand.sleep(3000);
        Stand.Record.say(
                "nodes: whole answers " + GIVEN + ", cut off by the proxy while they were given " + CUT);
        Stand.Record.say(
                "clients: whole answers " + WHOLE + ", refused " + REFUSED + ", other " + OTHER
                        + ", broken off " + CLIENTS_BROKEN);
        // No client leaves before its answer has ended, so each cut is the proxy's own.
        boolean broken = CUT.get() > 0;
        Stand.Record.say(broken ? "RULE BROKEN: long answers cut off" : "rule held");
        Stand.finish(
                broken ? Stand.BROKEN : WHOLE.get() == 0 ? Stand.COULD_NOT_RUN : Stand.HELD);
    }
}
