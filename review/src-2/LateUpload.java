import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin begins to read long bodies late, and then hangs. */
final class LateUpload {
    static final int[] BODY_KIB = {1500, 2000, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10000, 11000, 12000};
    static final double BUDGET_S = 1.0;
    static final double READ_DELAY_S = 0.75;
    static final double HANG_S = 4;

    /** Half a second after its time a request without its final answer is lost; 50 ms are the protocol's slack. */
    static final double LOST_AFTER_S = 0.55;

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(Path.of(args[0]));
        Rig.Handler node =
                (socket, in, out) -> {
                    for (Rig.Message m = Rig.read(in); m != null; m = Rig.read(in)) {
                        out.write(Rig.response(404, "X-Hit: miss\r\n", new byte[0]));
                    }
                };
        Rig.Handler origin =
                (socket, in, out) -> {
                    while (true) {
                        in.mark(16);
                        if (in.read() < 0) {
                            return;
                        }
                        in.reset();
                        double begun = Rig.now();
                        record.add("origin: a request begins");
                        Rig.sleep(Rig.TROUBLE ? READ_DELAY_S : 0);
                        Rig.Message m = Rig.read(in);
                        if (m == null) {
                            record.add("origin: the connection ended inside a request");
                            return;
                        }
                        record.add(
                                "origin: has the last byte of %s %.3f s after its first, %d bytes, told %s",
                                m.field("x-call-id"), Rig.now() - begun, m.body.length, m.field("x-budget"));
                        Rig.sleep(Rig.TROUBLE ? HANG_S : 0.05);
                        out.write(Rig.response(200, "", Rig.bytes("stored")));
                    }
                };
        Fleet fleet = new Fleet(node, origin, 3);
        fleet.start();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        for (int kib : BODY_KIB) {
            byte[] body = new byte[kib << 10];
            for (int round = 0; round < 2; round++) {
                send(fleet.proxy.port, body, record, late, served, answered);
                Rig.sleep(0.3);
            }
        }
        Rig.addLog(record, fleet.proxy.log, 60);
        int sent = 2 * BODY_KIB.length;
        String counts =
                String.format(
                        "%d requests with long bodies: %d answered in time (%d served), %d without a final answer half a second after their time",
                        sent, answered.get(), served.get(), late.get());
        boolean ran = Rig.TROUBLE || served.get() >= sent / 2;
        record.write((!ran ? "could not run: " : late.get() > 0 ? "BROKEN: " : "held: ") + counts);
        System.exit(!ran ? Rig.COULD_NOT_RUN : late.get() > 0 ? Rig.BROKEN : Rig.HELD);
    }

    private static void send(
            int port,
            byte[] body,
            Rig.Record record,
            AtomicInteger late,
            AtomicInteger served,
            AtomicInteger answered)
            throws Exception {
        String id = Rig.newId();
        try (Rig.Client client = new Rig.Client(port)) {
            double first = Rig.now();
            client.out.write(Rig.bytes(Rig.head("PUT", "agenda-1", id, "bill-plan", BUDGET_S, body.length)));
            client.out.write(body);
            double last = Rig.now();
            record.add("client: wrote the last of %d bytes of %s, %.3f s after the first", body.length, id, last - first);
            client.socket.setSoTimeout(5000);
            Rig.Message answer = Rig.read(client.in);
            double after = Rig.now() - last;
            record.add("client: %s answered %s %.3f s after its last byte", id, answer == null ? "with the end of the connection" : answer.first, after);
            if (after > BUDGET_S + LOST_AFTER_S) {
                late.incrementAndGet();
                record.add("LOST: %s had no final answer %.3f s after its last byte, with a budget of %.1f s", id, BUDGET_S + LOST_AFTER_S, BUDGET_S);
            } else if (answer != null) {
                answered.incrementAndGet();
                served.addAndGet(answer.status() == 200 ? 1 : 0);
            }
        } catch (java.io.IOException e) {
            record.add("client: %s %s", id, e);
        }
    }
}
