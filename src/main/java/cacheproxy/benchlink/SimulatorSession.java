package cacheproxy.benchlink;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the decision module's instances for the simulator: reads batches of events, passes them to
 * the routers and writes the replies.
 */
final class SimulatorSession {

    private static final int FLAG_WORK_KNOWN = 1;
    private static final int FLAG_REPEAT = 2;
    private static final int FLAG_WRITE = 4;
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final Map<Integer, Router> routers = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private final BufferedReader in;
    private final Writer out;
    private double now = Double.NEGATIVE_INFINITY;

    SimulatorSession(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Processes batches until the input ends. */
    void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            LineFields head = new LineFields(line);
            if (!head.text().equals("ROUND")) {
                throw new WireFormatException("expected ROUND, found: " + line);
            }
            double clock = head.number();
            String index = head.text();
            head.end();
            if (!(clock >= now)) {
                throw new WireFormatException(
                        "clock is earlier than that of the last ROUND: " + line);
            }
            now = clock;
            processBatch();
            out.append(reply).append("READY ").append(index).append('\n');
            out.flush();
            reply.setLength(0);
        }
    }

    private void processBatch() throws IOException {
        for (String line = nextLine(); !line.equals("YOUR_TURN"); line = nextLine()) {
            LineFields fields = new LineFields(line);
            String messageType = fields.text();
            int instance = fields.integer();
            ReplyWriter actions = new ReplyWriter(reply, instance);
            switch (messageType) {
                case "INIT" -> init(instance, fields, actions);
                case "DOWN" -> down(instance, fields);
                default ->
                        deliverGuarded(
                                actions,
                                parseEvent(messageType, instance, fields),
                                router(instance, line));
            }
        }
    }

    private void init(int instance, LineFields fields, ReplyWriter actions) {
        long seed = fields.longOr(0);
        Router router;
        try {
            router = new DecisionModule(SettingsReader.read(fields.rest()), seed);
        } catch (IllegalArgumentException e) {
            throw new WireFormatException(e.getMessage());
        }
        routers.put(instance, router);
        deliverGuarded(actions, r -> r.started(now, actions), router);
    }

    private void down(int instance, LineFields fields) {
        fields.end();
        if (routers.remove(instance) == null) {
            throw new WireFormatException("DOWN for unknown instance " + instance);
        }
    }

    private Router router(int instance, String line) {
        Router router = routers.get(instance);
        if (router == null) {
            throw new WireFormatException("unknown instance: " + line);
        }
        return router;
    }

    private void deliverGuarded(ReplyWriter actions, RouterEvent event, Router router) {
        try {
            event.deliver(router);
        } catch (RuntimeException e) {
            e.printStackTrace();
            actions.internalError(e);
        }
    }

    /** Parses a complete event, so that the router never receives part of a malformed line. */
    private RouterEvent parseEvent(String messageType, int instance, LineFields fields)
            throws IOException {
        ReplyWriter actions = new ReplyWriter(reply, instance);
        RouterEvent event =
                switch (messageType) {
                    case "TOPOLOGY" -> topology(fields, actions);
                    case "ORDER" -> order(fields, actions);
                    case "ENDED" -> ended(fields, actions);
                    case "FLOWING" -> flowing(fields, actions);
                    case "CLIENT_LEFT" -> clientLeft(fields, actions);
                    case "WAKE" -> wake(fields, actions);
                    case "PING_RESULT" -> pingResult(fields, actions);
                    case "INBOX" -> inbox(fields, actions);
                    default ->
                            throw new WireFormatException("unknown message type: " + messageType);
                };
        fields.end();
        return event;
    }

    private RouterEvent topology(LineFields fields, ReplyWriter actions) throws IOException {
        EndpointListKind kind =
                switch (fields.text()) {
                    case "changes" -> EndpointListKind.DELTA;
                    case "all" -> EndpointListKind.SNAPSHOT;
                    case "remembered" -> EndpointListKind.STORED_SNAPSHOT;
                    case "refused" -> EndpointListKind.FAILED;
                    default -> throw new WireFormatException("TOPOLOGY: unknown mode");
                };
        long version = fields.longOr(0);
        long count = fields.longOr(0);
        List<Node> nodes = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            nodes.add(node(new LineFields(nextLine())));
        }
        return r -> r.endpointListReceived(now, kind, version, nodes, actions);
    }

    private static Node node(LineFields fields) {
        if (!fields.text().equals("NODE")) {
            throw new WireFormatException("TOPOLOGY: fewer NODE lines than announced");
        }
        double weight = fields.numberOr(1);
        String zone = fields.optional();
        double startedAt = fields.numberOr(0);
        Availability availability =
                switch (fields.text()) {
                    case "IN" -> Availability.UP;
                    case "LAME" -> Availability.DRAINING;
                    case "OUT" -> Availability.GONE;
                    default -> throw new WireFormatException("NODE: unknown availability");
                };
        String id = fields.text();
        String model = fields.optional();
        int cell = (int) fields.longOr(0);
        fields.end();
        return new Node(id, model, zone == null ? "" : zone, cell, weight, startedAt, availability);
    }

    private RouterEvent order(LineFields fields, ReplyWriter actions) {
        String id = fields.text();
        double work = fields.numberOr(0);
        double budget = fields.numberOr(-1);
        String tenant = fields.optional();
        long flags = fields.longOr(0);
        long key = fields.longOr(-1);
        String service = fields.text();
        fields.optional();
        Request request =
                new Request(
                        id,
                        service,
                        tenant,
                        key,
                        (flags & FLAG_WORK_KNOWN) != 0 ? work : 0,
                        budget,
                        (flags & FLAG_WRITE) != 0,
                        (flags & FLAG_REPEAT) != 0);
        return r -> r.requestReceived(now, request, actions);
    }

    private RouterEvent ended(LineFields fields, ReplyWriter actions) {
        String id = fields.text();
        int attempt = fields.integer();
        String node = fields.text();
        Outcome outcome = outcome(fields.integer());
        double elapsed = fields.numberOr(0);
        boolean finished = fields.flag();
        AttemptEnd end =
                new AttemptEnd(
                        id,
                        attempt,
                        node,
                        outcome,
                        elapsed,
                        finished,
                        (int) fields.longOr(0),
                        fields.pairs());
        return r -> r.attemptEnded(now, end, actions);
    }

    private RouterEvent flowing(LineFields fields, ReplyWriter actions) {
        String id = fields.text();
        fields.numberOr(0);
        int attempt = fields.integer();
        String node = fields.text();
        return r -> r.streamStarted(now, id, attempt, node, actions);
    }

    private RouterEvent clientLeft(LineFields fields, ReplyWriter actions) {
        String id = fields.text();
        return r -> r.clientDisconnected(now, id, actions);
    }

    private RouterEvent wake(LineFields fields, ReplyWriter actions) {
        String token = fields.rest();
        return r -> r.timerFired(now, token, actions);
    }

    private RouterEvent pingResult(LineFields fields, ReplyWriter actions) {
        double elapsed = fields.numberOr(0);
        String node = fields.text();
        Outcome outcome = outcome(fields.integer());
        Map<String, Double> load = fields.pairs();
        return r -> r.probeCompleted(now, node, outcome, elapsed, load, actions);
    }

    private RouterEvent inbox(LineFields fields, ReplyWriter actions) {
        int from = fields.integer();
        String contents = fields.optional();
        try {
            byte[] bytes = contents == null ? new byte[0] : Base64.getDecoder().decode(contents);
            return r -> r.peerMessageReceived(now, from, bytes, actions);
        } catch (IllegalArgumentException e) {
            throw new WireFormatException("INBOX: contents are not base64");
        }
    }

    private static Outcome outcome(int code) {
        if (code < 0 || code >= OUTCOMES.length) {
            throw new WireFormatException(
                    "outcome " + code + " out of range 0 to " + (OUTCOMES.length - 1));
        }
        return OUTCOMES[code];
    }

    private String nextLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new WireFormatException("input ended inside a batch");
        }
        return line;
    }

    /** A parsed event that can be delivered to its router. */
    private interface RouterEvent {
        void deliver(Router router);
    }
}
