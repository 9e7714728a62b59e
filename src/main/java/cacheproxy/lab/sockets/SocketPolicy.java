package cacheproxy.lab.sockets;

import cacheproxy.epoch.Message.Ending;
import cacheproxy.gossip.NumericAddress;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.PeerLinks;
import cacheproxy.lab.faults.PolicyText;
import cacheproxy.lab.ledger.PolicyLedger;
import cacheproxy.raft.PolicySocket;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The fleet's policy among proxies on sockets: their options, the relays between them, proposals,
 * and what their logs tell.
 */
final class SocketPolicy {

    private static final double NS_PER_MS = 1e6;
    private static final String EVENTS = "policy_";

    private final Experiment experiment;
    private final RunClock clock;
    private final Path directory;
    private final StreamRelay relay;
    private final PolicyLedger ledger;
    private final List<InetSocketAddress> voters = new ArrayList<>();
    private final AtomicInteger proposals = new AtomicInteger();
    private volatile int leader = -1;

    SocketPolicy(
            Experiment experiment,
            RunClock clock,
            PeerLinks links,
            Path directory,
            EventLoop loop) {
        this.experiment = experiment;
        this.clock = clock;
        this.directory = directory;
        this.relay = new StreamRelay(loop, clock, links);
        this.ledger = new PolicyLedger(experiment, links);
    }

    boolean on() {
        return experiment.policy().voters() > 0;
    }

    /** Finds each voter an address, and a way from each proxy to it. */
    void open(List<InetSocketAddress> proxies) throws IOException, InterruptedException {
        for (int to = 0; to < experiment.policy().voters(); to++) {
            try (ServerSocket free = new ServerSocket()) {
                free.bind(new InetSocketAddress(proxies.get(to).getAddress(), 0));
                voters.add(
                        new InetSocketAddress(proxies.get(to).getAddress(), free.getLocalPort()));
            }
            for (int from = 0; from < proxies.size(); from++) {
                if (from != to) {
                    relay.open(from, to, proxies.get(to).getAddress(), voters.get(to));
                }
            }
        }
    }

    private Path socket(int proxy) {
        return directory.resolve("p" + proxy + ".sock");
    }

    /**
     * What stands in a proxy's options; a voter's own place among the voters is its true address.
     */
    String options(int proxy) {
        if (!on()) {
            return "";
        }
        List<String> named = new ArrayList<>();
        for (int v = 0; v < voters.size(); v++) {
            InetSocketAddress at = v == proxy ? voters.get(v) : relay.address(proxy, v);
            named.add("\"proxy-" + v + "=" + NumericAddress.text(at) + "\"");
        }
        String listen =
                proxy < voters.size()
                        ? "listen = \"" + NumericAddress.text(voters.get(proxy)) + "\"\n"
                        : "";
        return "\n[policy]\nvoters = ["
                + String.join(", ", named)
                + "]\n"
                + listen
                + "socket = \""
                + socket(proxy)
                + "\"\n";
    }

    /** An event of a proxy's log; its own time is that of the machine's monotonic clock. */
    void saw(int proxy, String event, String subject, String evidence) {
        if (!on() || !event.startsWith(EVENTS) || !evidence.startsWith("at:")) {
            return;
        }
        double at =
                clock.now()
                        - (System.nanoTime() / NS_PER_MS
                                - Double.parseDouble(evidence.substring("at:".length())));
        long epoch = Long.parseLong(subject);
        switch (event.substring(EVENTS.length()).toUpperCase(Locale.ROOT)) {
            case "APPLIED" -> ledger.applied(proxy, epoch, content(proxy, epoch), at);
            case "CURRENT" -> ledger.current(proxy, epoch, at);
            case "NOT_CURRENT" -> ledger.notCurrent(proxy, at);
            case "FENCED" -> ledger.fenced();
            case "LEADS" -> leader = proxy;
            default -> {}
        }
    }

    /** What the proxy itself says that an epoch holds. */
    private String content(int proxy, long epoch) {
        try {
            String all = PolicySocket.ask(socket(proxy), "history", "", 0).text();
            String mine =
                    List.of(all.split("(?m)^# epoch ")).stream()
                            .filter(e -> e.startsWith(epoch + ","))
                            .findFirst()
                            .orElse(null);
            return mine == null ? null : mine.substring(mine.indexOf('\n') + 1).strip() + "\n";
        } catch (IOException e) {
            return null;
        }
    }

    void ended(int proxy) {
        if (on()) {
            ledger.ended(proxy, clock.now());
        }
    }

    void started(int proxy) {
        if (on()) {
            ledger.started(proxy);
        }
    }

    void stopped(int proxy, double until) {
        ledger.stopped(proxy, until);
    }

    void back(int proxy) {
        ledger.back(proxy, clock.now());
    }

    /** A cut is over. */
    void healed() {
        for (int i = 0; i < experiment.proxies().count(); i++) {
            back(i);
        }
    }

    /** An operator at this proxy; returns once it has an answer. */
    String propose(int proxy) {
        String content = PolicyText.number(proposals.incrementAndGet());
        ledger.proposed(content, clock.now());
        try {
            PolicySocket.Told told = PolicySocket.ask(socket(proxy), "propose", content, 0);
            ledger.answered(content, told.ending(), clock.now());
            return told.text();
        } catch (IOException e) {
            ledger.answered(content, Ending.UNKNOWN, clock.now());
            return "no answer: " + e.getMessage();
        }
    }

    /** The proxy that last said that it leads, or -1. */
    int leader() {
        return leader;
    }

    PolicyLedger ledger() {
        return ledger;
    }
}
