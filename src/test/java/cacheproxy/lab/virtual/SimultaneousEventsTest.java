package cacheproxy.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.ScenarioGenerator;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The end of an attempt, its time-out, the disconnection of the client and the removal of the node
 * happen at the same time, in every order. Handling one of them must not leave a request entry
 * behind or cause a second answer when the others follow.
 */
class SimultaneousEventsTest {

    private static final double TIE_MS = 5_000;

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
                        order ->
                                List.of(Outcome.OK, Outcome.MISS, Outcome.RESET, Outcome.ERROR)
                                        .stream()
                                        .map(end -> Arguments.of(order, end)))
                .toList();
    }

    private static void permute(List<Event> events, int from, List<List<Event>> result) {
        if (from == events.size()) {
            result.add(List.copyOf(events));
            return;
        }
        for (int i = from; i < events.size(); i++) {
            Collections.swap(events, from, i);
            permute(events, from + 1, result);
            Collections.swap(events, from, i);
        }
    }

    /** A network that records attempts; the test itself reports their end. */
    private static final class ManualNetwork implements VirtualProxy.Network {
        final List<String> sent = new ArrayList<>();
        int abandonedCount;

        @Override
        public void send(
                VirtualProxy from, String request, int attempt, String node, double waitMs) {
            sent.add(node);
        }

        @Override
        public void abandon(VirtualProxy from, String request, int attempt) {
            abandonedCount++;
        }

        @Override
        public void probe(VirtualProxy from, String node) {}

        @Override
        public void outcomeObserved(
                VirtualProxy from, String node, Outcome outcome, double elapsedMs, boolean probe) {}
    }

    @ParameterizedTest
    @MethodSource("orders")
    void givesAtMostOneAnswerAndLeavesNoState(List<Event> order, Outcome end) throws Exception {
        for (String service : List.of("view-agenda", "book-slot", "bill-plan")) {
            runOrder(order, end, service);
        }
    }

    private static void runOrder(List<Event> order, Outcome end, String service) throws Exception {
        Experiment experiment =
                ExperimentFile.parse(Toml.parse("ties", "name = \"ties\"\nduration_s = 10\n"));
        Router.Settings settings =
                ProxySettings.read(
                        experiment, ScenarioGenerator.installation(experiment), 0, 10_000, 100);
        EventQueue eventQueue = new EventQueue();
        ManualNetwork network = new ManualNetwork();
        Router router = new DecisionModule(settings, 1);
        VirtualProxy proxy = new VirtualProxy(0, eventQueue, settings, router, network);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            nodes.add(new Node("node-" + i, "std", "bogota-1", 0, 2, 0, Availability.UP));
        }
        nodes.add(new Node("origin", "origin", "bogota-1", 0, 4, 0, Availability.UP));
        proxy.start(nodes);
        proxy.endpointListReceived(EndpointListKind.SNAPSHOT, 1, nodes);
        boolean write = !service.equals("view-agenda");
        List<Integer> answers = new ArrayList<>();
        eventQueue.scheduleAt(
                TIE_MS - 200,
                () ->
                        proxy.requestReceived(
                                new Request("r", service, null, 77, 30, 1000, write, false),
                                (status, retryAfterMs, bodyAttempt) -> answers.add(status)));
        // Scheduled before the request runs, so that all four precede the router's own actions at
        // that time.
        for (Event event : order) {
            eventQueue.scheduleAt(
                    TIE_MS,
                    () -> {
                        switch (event) {
                            case ANSWER -> proxy.attemptEnded("r", 0, end, 0, 1);
                            case TIME_OUT -> proxy.attemptTimedOut("r", 0);
                            case GONE -> proxy.clientDisconnected("r");
                            case REMOVED ->
                                    proxy.endpointListReceived(
                                            EndpointListKind.DELTA,
                                            2,
                                            List.of(
                                                    new Node(
                                                            network.sent.get(0),
                                                            network.sent.get(0).equals("origin")
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
        while (eventQueue.nextEventAt() < TIE_MS + 20_000) {
            eventQueue.runNext();
        }
        String description =
                service + " " + order + " " + end + ": " + answers + ", sent to " + network.sent;
        boolean departedFirst =
                order.indexOf(Event.GONE) < order.indexOf(Event.ANSWER)
                        && order.indexOf(Event.GONE) < order.indexOf(Event.TIME_OUT);
        boolean answeredFirst =
                order.indexOf(Event.ANSWER) < order.indexOf(Event.TIME_OUT)
                        && order.indexOf(Event.ANSWER) < order.indexOf(Event.GONE);
        if (departedFirst) {
            assertEquals(List.of(), answers, description);
        } else if (answeredFirst && end == Outcome.OK) {
            assertEquals(List.of(200), answers, description);
        } else {
            assertEquals(true, answers.size() <= 1, description);
        }
        assertEquals(0, proxy.unansweredCount(), description);
        assertEquals(0, proxy.activeRequestCount(), description);
        assertEquals(0, router.entryCount(), description);
        assertEquals(0, proxy.backstopCount(), description);
        // After a time-out, a reset or an error the write may have run, so it must not be sent
        // again.
        if (service.equals("book-slot")
                && (end == Outcome.RESET || end == Outcome.ERROR || !answeredFirst)) {
            assertEquals(1, network.sent.size(), description);
        }
    }
}
