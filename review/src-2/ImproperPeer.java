import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Peers whose requests are not proper HTTP/1.1 connect beside sound clients. */
final class ImproperPeer {
    static final int ROUNDS = 10;
    static final int CLIENTS = 8;
    static final double PAUSE_S = 0.05;

    /** What is owed within 3 s of connecting. */
    static final int OWED_MS = 3000;

    /** The line and the Host fields of a request; %s stands for the method and the path. */
    private enum Form {
        NO_HOST("%s HTTP/1.1\r\n", ""),
        TWO_HOSTS("%s HTTP/1.1\r\nHost: service.internal\r\nHost: other.internal\r\n", ""),
        CONTROL_BYTE_IN_TARGET("%s HTTP/1.1\r\nHost: service.internal\r\n", "\u0001");

        final String start;
        final String inTarget;

        Form(String start, String inTarget) {
            this.start = start;
            this.inTarget = inTarget;
        }
    }

    public static void main(String[] args) throws Exception {
        Rig.Record record = new Rig.Record(Path.of(args[0]));
        Map<String, String> ran = new ConcurrentHashMap<>();
        Rig.Handler server =
                (socket, in, out) -> {
                    for (Rig.Message m = Rig.read(in); m != null; m = Rig.read(in)) {
                        ran.put(m.field("x-call-id"), m.first);
                        Rig.sleep(0.01);
                        out.write(Rig.response(200, "X-Hit: hit\r\n", Rig.bytes("value")));
                    }
                };
        Fleet fleet = new Fleet(server, server, 3);
        fleet.start();
        int port = fleet.proxy.port;
        AtomicInteger sound = new AtomicInteger();
        boolean[] end = new boolean[1];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(
                    () -> {
                        Random random = new Random(number);
                        while (!end[0]) {
                            try (Rig.Client client = new Rig.Client(port)) {
                                String head =
                                        Rig.head("GET", "agenda-" + random.nextInt(500), Rig.newId(), "view-agenda", 1.2, -1);
                                Rig.Message answer = client.call(head, new byte[0], 1700);
                                sound.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
                            }
                            Rig.sleep(0.1);
                        }
                    });
        }
        int served = 0;
        int sent = 0;
        StringBuilder byForm = new StringBuilder();
        for (Form form : Form.values()) {
            int ofForm = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (String service : new String[] {"view-agenda", "book-slot"}) {
                    sent++;
                    if (isServed(port, form, service, record, ran) && Rig.TROUBLE) {
                        ofForm++;
                    }
                    Rig.sleep(PAUSE_S);
                }
            }
            served += ofForm;
            byForm.append(' ').append(form).append('=').append(ofForm);
        }
        end[0] = true;
        String counts =
                String.format(
                        "%d requests that are %s: %d answered 200 after a cache node or the origin ran them (%s); sound clients served %d times",
                        sent, Rig.TROUBLE ? "not proper" : "proper", served, byForm.toString().trim(), sound.get());
        boolean ok = sound.get() > CLIENTS;
        record.write((!ok ? "could not run: " : served > 0 ? "BROKEN: " : "held: ") + counts);
        System.exit(!ok ? Rig.COULD_NOT_RUN : served > 0 ? Rig.BROKEN : Rig.HELD);
    }

    private static boolean isServed(int port, Form form, String service, Rig.Record record, Map<String, String> ran)
            throws Exception {
        String id = Rig.newId();
        boolean write = service.equals("book-slot");
        String target = (write ? "PUT" : "GET") + " /api/agenda-" + (Rig.TROUBLE ? form.inTarget : "") + "1";
        String start = Rig.TROUBLE ? form.start : "%s HTTP/1.1\r\nHost: service.internal\r\n";
        String head =
                String.format(start, target)
                        + "X-Call-Id: " + id + "\r\nX-Call-Class: " + service + "\r\nX-Budget: 0.600\r\n"
                        + (write ? "Content-Length: 2\r\n" : "") + "\r\n";
        try (Rig.Client client = new Rig.Client(port)) {
            Rig.Message answer = client.call(head, Rig.bytes(write ? "ab" : ""), OWED_MS);
            String text = answer == null ? "closed" : answer.first;
            record.add("peer: %s %s %s answered '%s', ran: %s", Rig.TROUBLE ? form : "PROPER", id, service, text, ran.containsKey(id));
            return answer != null && answer.status() == 200 && ran.containsKey(id);
        } catch (java.io.IOException e) {
            record.add("peer: %s %s %s: %s", form, id, service, e);
            return false;
        }
    }
}
