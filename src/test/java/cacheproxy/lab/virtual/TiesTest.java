package cacheproxy.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.Decide;
import cacheproxy.Router;
import cacheproxy.Router.Availability;
import cacheproxy.Router.ListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.config.Toml;
import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.ProxySettings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An attempt's end, its time-out, the client's departure and a node's removal in one instant, in
 * every order.
 */
class TiesTest {

    private static final double TIE = 5_000;

    private enum Event {
        ANSWER,
        TIME_OUT,
        GONE,
        REMOVED
    }

    static List<Arguments> orders() {
        List<List<Event>> orders = new ArrayList<>();
        permute(new ArrayList<>(List.of(Event.values())), 0, orders);
        return orders.stream()
                .flatMap(
                        o ->
                                List.of(Outcome.OK, Outcome.MISS, Outcome.RESET, Outcome.ERROR)
                                        .stream()
                                        .map(end -> Arguments.of(o, end)))
                .toList();
    }

    private static void permute(List<Event> events, int from, List<List<Event>> into) {
        if (from == events.size()) {
            into.add(List.copyOf(events));
            return;
        }
        for (int i = from; i < events.size(); i++) {
            Collections.swap(events, from, i);
            permute(events, from + 1, into);
            Collections.swap(events, from, i);
        }
    }

    /** The network of one attempt, whose end the test brings about. */
    private static final class Wire implements VirtualProxy.Network {
        final List<String> sent = new ArrayList<>();
        int abandoned;

        @Override
        public void send(
                VirtualProxy from, String request, int attempt, String node, double waitMs) {
            sent.add(node);
        }

        @Override
        public void abandon(VirtualProxy from, String request, int attempt) {
            abandoned++;
        }

        @Override
        public void probe(VirtualProxy from, String node) {}

        @Override
        public void seen(
                VirtualProxy from, String node, Outcome outcome, double elapsedMs, boolean probe) {}
    }

    @ParameterizedTest
    @MethodSource("orders")
    void oneAnswerAtMostAndNothingStaysBehind(List<Event> order, Outcome end) throws Exception {
        for (String service : List.of("view-agenda", "book-slot", "bill-plan")) {
            play(order, end, service);
        }
    }

    private static void play(List<Event> order, Outcome end, String service) throws Exception {
        Experiment experiment =
                ExperimentFile.of(Toml.parse("ties", "name = \"ties\"\nduration_s = 10\n"));
        Router.Settings settings =
                ProxySettings.read(experiment, Draw.installation(experiment), 0, 10_000, 100);
        Agenda agenda = new Agenda();
        Wire wire = new Wire();
        Router router = new Decide(settings, 1);
        VirtualProxy proxy = new VirtualProxy(0, agenda, settings, router, wire);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            nodes.add(new Node("node-" + i, "std", "bogota-1", 0, 2, 0, Availability.UP));
        }
        nodes.add(new Node("origin", "origin", "bogota-1", 0, 4, 0, Availability.UP));
        proxy.start(nodes);
        proxy.nodes(ListKind.FULL, 1, nodes);
        boolean write = !service.equals("view-agenda");
        List<Integer> answers = new ArrayList<>();
        agenda.at(
                TIE - 200,
                () ->
                        proxy.request(
                                new Request("r", service, null, 77, 30, 1000, write, false),
                                (status, retryAfterMs, made) -> answers.add(status)));
        // Asked for before the request, so that all four come before what the router asks for that
        // instant.
        for (Event event : order) {
            agenda.at(
                    TIE,
                    () -> {
                        switch (event) {
                            case ANSWER -> proxy.ended("r", 0, end, 0, 1);
                            case TIME_OUT -> proxy.timedOut("r", 0);
                            case GONE -> proxy.clientGone("r");
                            case REMOVED ->
                                    proxy.nodes(
                                            ListKind.CHANGES,
                                            2,
                                            List.of(
                                                    new Node(
                                                            wire.sent.get(0),
                                                            wire.sent.get(0).equals("origin")
                                                                    ? "origin"
                                                                    : "std",
                                                            "bogota-1",
                                                            0,
                                                            2,
                                                            0,
                                                            Availability.GONE)));
                        }
                    });
        }
        while (agenda.nextAt() < TIE + 20_000) {
            agenda.step();
        }
        String told = service + " " + order + " " + end + ": " + answers + ", sent to " + wire.sent;
        boolean departedFirst =
                order.indexOf(Event.GONE) < order.indexOf(Event.ANSWER)
                        && order.indexOf(Event.GONE) < order.indexOf(Event.TIME_OUT);
        boolean answeredFirst =
                order.indexOf(Event.ANSWER) < order.indexOf(Event.TIME_OUT)
                        && order.indexOf(Event.ANSWER) < order.indexOf(Event.GONE);
        if (departedFirst) {
            assertEquals(List.of(), answers, told);
        } else if (answeredFirst && end == Outcome.OK) {
            assertEquals(List.of(200), answers, told);
        } else {
            assertEquals(true, answers.size() <= 1, told);
        }
        assertEquals(0, proxy.owed(), told);
        assertEquals(0, proxy.table(), told);
        assertEquals(0, router.entries(), told);
        assertEquals(0, proxy.backstops(), told);
        // After time-out or reset a booking may have run: it is never sent a second time.
        if (service.equals("book-slot")
                && (end == Outcome.RESET || end == Outcome.ERROR || !answeredFirst)) {
            assertEquals(1, wire.sent.size(), told);
        }
    }
}
