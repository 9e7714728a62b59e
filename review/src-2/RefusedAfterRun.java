import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Bookings with bodies over 64 KiB: is one refused that the origin has run? */
final class RefusedAfterRun {
    static final int LEAST_BYTES = 70_000;
    static final int MOST_BYTES = 250_000;
    static final int SHORT_BYTES = 2000;
    static final int CLIENTS = 8;
    static final double PAUSE_S = 0.6;
    static final double RUN_S = 45;
    static final double BUDGET_S = 0.6;

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(Path.of(args[0]));
        Map<String, Integer> ranById = new ConcurrentHashMap<>();
        Map<String, Integer> ranByBooking = new ConcurrentHashMap<>();
        AtomicInteger surplus = new AtomicInteger();
        Rig.Handler node =
                (socket, in, out) -> {
                    for (Rig.Message m = Rig.read(in); m != null; m = Rig.read(in)) {
                        out.write(Rig.response(404, "X-Hit: miss\r\n", new byte[0]));
                    }
                };
        Rig.Handler origin =
                (socket, in, out) -> {
                    while (true) {
                        Rig.Message m;
                        try {
                            m = Rig.read(in);
                        } catch (RuntimeException e) {
                            surplus.incrementAndGet();
                            record.add("origin: bytes that are no request: %s", e);
                            return;
                        }
                        if (m == null) {
                            return;
                        }
                        if (m.field("x-call-id").isEmpty()) {
                            surplus.incrementAndGet();
                            record.add("origin: bytes that are no request of a client");
                            return;
                        }
                        String id = m.field("x-call-id");
                        ranById.merge(id, 1, Integer::sum);
                        ranByBooking.merge(m.target(), 1, Integer::sum);
                        record.add("origin: runs %s %s, %d bytes, whole", id, m.target(), m.body.length);
                        Rig.sleep(0.02);
                        out.write(Rig.response(200, "", Rig.bytes("booked")));
                        out.flush();
                    }
                };
        Fleet fleet = new Fleet(node, origin, 3);
        fleet.start();
        AtomicInteger[] counts = new AtomicInteger[4];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = new AtomicInteger();
        }
        double end = Rig.now() + RUN_S;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> client(number, end, fleet.proxy.port, record, ranById, counts));
        }
        Rig.sleep(RUN_S + 3);
        Rig.addLog(record, fleet.proxy.log, 40);
        long twice = ranByBooking.values().stream().filter(n -> n > 1).count();
        int broken = counts[2].get();
        String text =
                String.format(
                        "%d tries served, %d refused (%d of them had run at the origin), %d with another answer;"
                                + " %d bookings ran twice, as their client tried again after such a refusal",
                        counts[0].get(), counts[1].get(), broken, counts[3].get(), twice);
        boolean ran = counts[0].get() > CLIENTS * RUN_S / PAUSE_S / 4;
        record.write((!ran ? "could not run: " : broken > 0 ? "BROKEN: " : "held: ") + text);
        System.exit(!ran ? Rig.COULD_NOT_RUN : broken > 0 ? Rig.BROKEN : Rig.HELD);
    }

    private static void client(
            int number, double end, int port, Rig.Record record, Map<String, Integer> ran, AtomicInteger[] counts)
            throws Exception {
        Random random = new Random(number);
        for (int booking = 0; Rig.now() < end; booking++) {
            Rig.sleep(PAUSE_S * 2 * random.nextDouble());
            int length = LEAST_BYTES + random.nextInt(MOST_BYTES - LEAST_BYTES);
            byte[] body = new byte[Rig.TROUBLE ? length : SHORT_BYTES];
            String key = "agenda-" + number + "-" + booking;
            boolean refused = true;
            for (int attempt = 0; refused && attempt < 2; attempt++) {
                String id = Rig.newId();
                try (Rig.Client client = new Rig.Client(port)) {
                    Rig.Message answer =
                            client.call(Rig.head("PUT", key, id, "book-slot", BUDGET_S, body.length), body, 1500);
                    int status = answer == null ? 0 : answer.status();
                    record.add("client: %s PUT /api/%s answered %d", id, key, status);
                    refused = status == 503 || status == 429;
                    if (refused && ran.containsKey(id)) {
                        counts[2].incrementAndGet();
                        record.add("REFUSED, BUT IT HAS RUN: %s /api/%s", id, key);
                    }
                    counts[status == 200 ? 0 : refused ? 1 : 3].incrementAndGet();
                } catch (java.io.IOException e) {
                    refused = false;
                    counts[3].incrementAndGet();
                    record.add("client: %s PUT /api/%s %s", id, key, e);
                }
                Rig.sleep(0.05);
            }
        }
    }
}
