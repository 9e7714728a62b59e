import java.nio.file.Path;
import java.util.Collections;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The watch is reset, the list then comes in pieces, and a cache node begins to drain. */
final class MissedDrain {
    static final int PIECES = 10;
    static final double PIECE_GAP_S = 0.1;
    static final String DRAINING = "s-3";
    static final int CLIENTS = 12;
    static final double QUIET_S = 4;
    static final double RESET_TO_DRAIN_S = 3;
    static final double AFTER_S = 15;

    /** stop_sending_within_ms, and 50 ms for sockets. */
    static final double GRACE_S = 2.05;

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(Path.of(args[0]));
        List<Double> sends = Collections.synchronizedList(new ArrayList<>());
        String[] drainingDial = new String[1];
        Rig.Handler node =
                (socket, in, out) -> {
                    boolean watched = ("127.0.0.1:" + socket.getLocalPort()).equals(drainingDial[0]);
                    while (true) {
                        in.mark(1);
                        if (in.read() < 0) {
                            return;
                        }
                        double first = Rig.now();
                        in.reset();
                        Rig.Message m = Rig.read(in);
                        if (m == null) {
                            return;
                        }
                        if (watched) {
                            sends.add(first);
                            record.add("%s: gets %s %s", DRAINING, m.field("x-call-id"), m.target());
                        }
                        Rig.sleep(0.03);
                        out.write(Rig.response(200, "X-Hit: hit\r\n", Rig.bytes("value of " + m.target())));
                    }
                };
        Fleet fleet = new Fleet(node, node, 3);
        Rig.Discovery discovery = fleet.discovery;
        drainingDial[0] = discovery.hosts.get(DRAINING).dial;
        fleet.start();
        AtomicInteger served = new AtomicInteger();
        double end = Rig.now() + QUIET_S + RESET_TO_DRAIN_S + AFTER_S;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> client(number, end, fleet.proxy.port, record, served));
        }
        Rig.sleep(QUIET_S);
        int before = sends.size();
        if (Rig.TROUBLE) {
            discovery.pieces = PIECES;
            discovery.pieceGapS = PIECE_GAP_S;
        }
        int calls = discovery.calls.get();
        discovery.resetWatches();
        record.add("discovery: all watches are reset; a list now comes in %d pieces within %.1f s", discovery.pieces, (discovery.pieces - 1) * discovery.pieceGapS);
        Rig.sleep(RESET_TO_DRAIN_S);
        double told;
        Rig.Host host = discovery.hosts.get(DRAINING);
        synchronized (discovery) {
            host.health = "draining";
            discovery.changed(host);
            told = Rig.now();
        }
        record.add("discovery: %s drains, and the agent has it", DRAINING);
        Rig.sleep(AFTER_S);
        long late = sends.stream().filter(at -> at > told + GRACE_S).count();
        double last = sends.isEmpty() ? 0 : sends.get(sends.size() - 1);
        Rig.addLog(record, fleet.proxy.log, 20);
        String counts =
                String.format(
                        "%d requests sent to %s in %.0f s before the reset, %d later than %.2f s after it drained,"
                                + " the last %.1f s after; %d calls for the list in %.0f s; %d answers served",
                        before, DRAINING, QUIET_S, late, GRACE_S, last - told,
                        discovery.calls.get() - calls, RESET_TO_DRAIN_S + AFTER_S, served.get());
        boolean ran = before > 0 && served.get() > CLIENTS * 20;
        record.write((!ran ? "could not run: " : late > 0 ? "BROKEN: " : "held: ") + counts);
        System.exit(!ran ? Rig.COULD_NOT_RUN : late > 0 ? Rig.BROKEN : Rig.HELD);
    }

    private static void client(int number, double end, int port, Rig.Record record, AtomicInteger served)
            throws Exception {
        Random random = new Random(number);
        while (Rig.now() < end) {
            try (Rig.Client client = new Rig.Client(port)) {
                while (Rig.now() < end) {
                    String id = Rig.newId();
                    String key = "agenda-" + random.nextInt(2000);
                    Rig.Message answer = client.call(Rig.head("GET", key, id, "view-agenda", 1.2, -1), new byte[0], 1700);
                    record.add("client: %s GET /api/%s answered %s", id, key, answer == null ? "with the end of the connection" : answer.first);
                    if (answer == null || answer.field("connection").equalsIgnoreCase("close")) {
                        break;
                    }
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    Rig.sleep(0.05 + 0.05 * random.nextDouble());
                }
            } catch (java.io.IOException e) {
                record.add("client: %s", e);
            }
        }
    }
}
