import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Some cache nodes send an answer a second time, some milliseconds late. */
final class ForeignAnswer {
    static final int LATE_MS = 8;
    static final double SHARE = 0.05;
    static final int CLIENTS = 40;
    static final double RATE = 160;
    static final double RUN_S = 40;

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(Path.of(args[0]));
        Random random = new Random(8);
        AtomicInteger spoilt = new AtomicInteger();
        Rig.Handler node =
                (socket, in, out) -> {
                    for (Rig.Message m = Rig.read(in); m != null; m = Rig.read(in)) {
                        String target = m.target();
                        Thread.sleep(10 + random.nextInt(20));
                        byte[] answer =
                                Rig.response(200, "X-Hit: hit\r\n", Rig.bytes("value of " + target));
                        synchronized (out) {
                            out.write(answer);
                        }
                        if (Rig.TROUBLE && random.nextDouble() < SHARE) {
                            spoilt.incrementAndGet();
                            String id = m.field("x-call-id");
                            Rig.thread(
                                    () -> {
                                        Thread.sleep(LATE_MS);
                                        synchronized (out) {
                                            out.write(answer);
                                        }
                                        record.add("node: second answer for %s %s", id, target);
                                    });
                        }
                    }
                };
        Fleet fleet = new Fleet(node, node, 3);
        fleet.start();
        AtomicInteger right = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        double end = Rig.now() + RUN_S;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> client(number, end, fleet.proxy.port, record, right, other, foreign));
        }
        Rig.sleep(RUN_S + 3);
        Rig.addLog(record, fleet.proxy.log, 20);
        String counts =
                String.format(
                        "%d answers sent twice, the second %d ms late; 200 with the value asked for: %d,"
                                + " 200 with the value of another key: %d, other answers: %d",
                        spoilt.get(), LATE_MS, right.get(), foreign.get(), other.get());
        boolean ran = right.get() > RATE * RUN_S / 2;
        record.write((!ran ? "could not run: " : foreign.get() > 0 ? "BROKEN: " : "held: ") + counts);
        System.exit(!ran ? Rig.COULD_NOT_RUN : foreign.get() > 0 ? Rig.BROKEN : Rig.HELD);
    }

    private static void client(
            int number,
            double end,
            int port,
            Rig.Record record,
            AtomicInteger right,
            AtomicInteger other,
            AtomicInteger foreign)
            throws Exception {
        Random random = new Random(number);
        Rig.Client connection = null;
        while (Rig.now() < end) {
            Rig.sleep(-Math.log(1 - random.nextDouble()) * CLIENTS / RATE);
            String key = "agenda-" + (int) Math.pow(500, random.nextDouble());
            String id = Rig.newId();
            try {
                connection = connection == null ? new Rig.Client(port) : connection;
                Rig.Message answer =
                        connection.call(
                                Rig.head("GET", key, id, "view-agenda", 1.2, -1), new byte[0], 1700);
                String body = answer == null ? "" : new String(answer.body);
                record.add(
                        "client: %s GET /api/%s answered %s %s",
                        id, key, answer == null ? "with the end of the connection" : answer.first, body);
                if (answer == null || answer.status() != 200) {
                    other.incrementAndGet();
                } else if (body.equals("value of /api/" + key)) {
                    right.incrementAndGet();
                } else {
                    foreign.incrementAndGet();
                    record.add("FOREIGN: %s asked for %s and was given '%s'", id, key, body);
                }
                if (answer == null || answer.field("connection").equalsIgnoreCase("close")) {
                    connection.close();
                    connection = null;
                }
            } catch (java.io.IOException e) {
                other.incrementAndGet();
                record.add("client: %s GET /api/%s: %s", id, key, e);
                if (connection != null) {
                    connection.close();
                }
                connection = null;
            }
        }
    }
}
