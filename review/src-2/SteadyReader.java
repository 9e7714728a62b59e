import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read a long answer slowly but without a pause. */
final class SteadyReader {
    static final int ANSWER_BYTES = 12 << 20;
    static final double[] BYTES_PER_S = {64_000, 64_000, 80_000, 80_000, 100_000, 100_000};
    static final double RUN_S = 90;
    static final int READ_BYTES = 8192;

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(Path.of(args[0]));
        byte[] value = new byte[ANSWER_BYTES];
        Rig.Handler node =
                (socket, in, out) -> {
                    for (Rig.Message m = Rig.read(in); m != null; m = Rig.read(in)) {
                        String id = m.field("x-call-id");
                        record.add("node: begins the answer to %s, %d bytes", id, value.length);
                        try {
                            out.write(Rig.response(200, "X-Hit: hit\r\n", value));
                            record.add("node: gave all of the answer to %s", id);
                        } catch (java.io.IOException e) {
                            record.add("node: cut off while it gives the answer to %s: %s", id, e);
                            return;
                        }
                    }
                };
        Fleet fleet = new Fleet(node, node, 3);
        fleet.start();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        double end = Rig.now() + RUN_S;
        for (int i = 0; i < BYTES_PER_S.length; i++) {
            int number = i;
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    read(number, end, fleet.proxy.port, record, whole, cut);
                                } catch (Exception e) {
                                    record.add("client %d: %s", number, e);
                                }
                            });
            thread.start();
            clients.add(thread);
        }
        for (Thread thread : clients) {
            thread.join();
        }
        Rig.addLog(record, fleet.proxy.log, 40);
        String counts =
                String.format(
                        "of %d clients that read a long answer, %d got it whole, %d had it cut off by the proxy,"
                                + " %d were still reading at the end",
                        BYTES_PER_S.length, whole.get(), cut.get(), BYTES_PER_S.length - whole.get() - cut.get());
        boolean ran = Rig.TROUBLE || whole.get() == BYTES_PER_S.length || cut.get() > 0;
        record.write((!ran ? "could not run: " : cut.get() > 0 ? "BROKEN: " : "held: ") + counts);
        System.exit(!ran ? Rig.COULD_NOT_RUN : cut.get() > 0 ? Rig.BROKEN : Rig.HELD);
    }

    private static void read(
            int number, double end, int port, Rig.Record record, AtomicInteger whole, AtomicInteger cut)
            throws Exception {
        String id = Rig.newId();
        try (Rig.Client client = new Rig.Client(port)) {
            client.out.write(Rig.bytes(Rig.head("GET", "agenda-" + number, id, "view-agenda", 1.2, -1)));
            double start = Rig.now();
            record.add("client %d: sent %s, reads %.0f bytes a second", number, id, Rig.TROUBLE ? BYTES_PER_S[number] : 0);
            client.socket.setSoTimeout(10_000);
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = client.in.read();
                if (b < 0) {
                    throw new java.io.IOException("no answer");
                }
                head.append((char) b);
            }
            record.add("client %d: %s", number, head.substring(0, head.indexOf("\r\n")));
            if (!head.toString().startsWith("HTTP/1.1 200")) {
                return;
            }
            byte[] part = new byte[READ_BYTES];
            long total = 0;
            long noted = 0;
            while (total < ANSWER_BYTES && Rig.now() < end) {
                int read;
                try {
                    read = client.in.read(part);
                } catch (java.io.IOException e) {
                    record.add("client %d: %s", number, e);
                    read = -1;
                }
                if (read < 0) {
                    cut.incrementAndGet();
                    record.add(
                            "CUT OFF: client %d has %d of %d bytes of %s after %.1f s, and the proxy has ended the connection",
                            number, total, ANSWER_BYTES, id, Rig.now() - start);
                    return;
                }
                total += read;
                if (total - noted >= 512 << 10) {
                    noted = total;
                    record.add("client %d: has read %d bytes", number, total);
                }
                double ahead = total / BYTES_PER_S[number] - (Rig.now() - start);
                if (Rig.TROUBLE && ahead > 0) {
                    Rig.sleep(ahead);
                }
            }
            if (total >= ANSWER_BYTES) {
                whole.incrementAndGet();
                record.add("client %d: has the whole answer to %s after %.1f s", number, id, Rig.now() - start);
            } else {
                record.add("client %d: still reading, %d bytes", number, total);
            }
        }
    }
}
