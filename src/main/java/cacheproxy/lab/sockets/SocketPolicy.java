package cacheproxy.lab.sockets;

import cacheproxy.epoch.Message.ProposalStatus;
import cacheproxy.gossip.NumericAddress;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.PeerLinkFaults;
import cacheproxy.lab.faults.ProposedPolicies;
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
 * The policy log between proxies on sockets: their options, the relays between them, proposals, and
 * the policy events in their logs.
 */
final class SocketPolicy {

    private static final double NS_PER_MS = 1e6;
    private static final String EVENT_PREFIX = "policy_";

    private final Experiment experiment;
    private final RunClock clock;
    private final Path directory;
    private final StreamRelay relay;
    private final PolicyLedger ledger;
    private final List<InetSocketAddress> voterAddresses = new ArrayList<>();
    private final AtomicInteger proposalCount = new AtomicInteger();
    private volatile int leader = -1;

    SocketPolicy(
            Experiment experiment,
            RunClock clock,
            PeerLinkFaults linkFaults,
            Path directory,
            EventLoop loop) {
        this.experiment = experiment;
        this.clock = clock;
        this.directory = directory;
        this.relay = new StreamRelay(loop, clock, linkFaults);
        this.ledger = new PolicyLedger(experiment, linkFaults);
    }

    boolean isEnabled() {
        return experiment.policy().voters() > 0;
    }

    /** Picks an address for each voter and opens a relay to it from each other proxy. */
    void open(List<InetSocketAddress> proxies) throws IOException, InterruptedException {
        for (int to = 0; to < experiment.policy().voters(); to++) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(proxies.get(to).getAddress(), 0));
                voterAddresses.add(
                        new InetSocketAddress(proxies.get(to).getAddress(), probe.getLocalPort()));
            }
            for (int from = 0; from < proxies.size(); from++) {
                if (from != to) {
                    relay.open(from, to, proxies.get(to).getAddress(), voterAddresses.get(to));
                }
            }
        }
    }

    private Path operatorSocket(int proxy) {
        return directory.resolve("p" + proxy + ".sock");
    }

    /**
     * Returns the policy section of a proxy's options file. A voter lists its own true address and
     * the relay addresses of the others.
     */
    String optionsText(int proxy) {
        if (!isEnabled()) {
            return "";
        }
        List<String> voters = new ArrayList<>();
        for (int voter = 0; voter < voterAddresses.size(); voter++) {
            InetSocketAddress address =
                    voter == proxy ? voterAddresses.get(voter) : relay.address(proxy, voter);
            voters.add("\"proxy-" + voter + "=" + NumericAddress.format(address) + "\"");
        }
        String listen =
                proxy < voterAddresses.size()
                        ? "listen = \"" + NumericAddress.format(voterAddresses.get(proxy)) + "\"\n"
                        : "";
        return "\n[policy]\nvoters = ["
                + String.join(", ", voters)
                + "]\n"
                + listen
                + "socket = \""
                + operatorSocket(proxy)
                + "\"\n";
    }

    /**
     * Records a policy event from the log of a proxy. The time in its evidence is read from the
     * monotonic clock, which all processes of this machine share.
     */
    void recordLogEvent(int proxy, String event, String subject, String evidence) {
        if (!isEnabled() || !event.startsWith(EVENT_PREFIX) || !evidence.startsWith("at:")) {
            return;
        }
        double at =
                clock.now()
                        - (System.nanoTime() / NS_PER_MS
                                - Double.parseDouble(evidence.substring("at:".length())));
        long epoch = Long.parseLong(subject);
        switch (event.substring(EVENT_PREFIX.length()).toUpperCase(Locale.ROOT)) {
            case "APPLIED" -> ledger.epochApplied(proxy, epoch, readEpochContent(proxy, epoch), at);
            case "CURRENT" -> ledger.becameCurrent(proxy, epoch, at);
            case "NOT_CURRENT" -> ledger.ceasedCurrent(proxy, at);
            case "FENCED" -> ledger.countFence();
            case "LEADS" -> leader = proxy;
            default -> {}
        }
    }

    /** Asks a proxy for the content of an epoch; null if it is not known there. */
    private String readEpochContent(int proxy, long epoch) {
        try {
            String history = PolicySocket.ask(operatorSocket(proxy), "history", "", 0).text();
            String epochText =
                    List.of(history.split("(?m)^# epoch ")).stream()
                            .filter(entry -> entry.startsWith(epoch + ","))
                            .findFirst()
                            .orElse(null);
            return epochText == null
                    ? null
                    : epochText.substring(epochText.indexOf('\n') + 1).strip() + "\n";
        } catch (IOException entry) {
            return null;
        }
    }

    void processEnded(int proxy) {
        if (isEnabled()) {
            ledger.processEnded(proxy, clock.now());
        }
    }

    void processStarted(int proxy) {
        if (isEnabled()) {
            ledger.processStarted(proxy);
        }
    }

    void processPaused(int proxy, double until) {
        ledger.processPaused(proxy, until);
    }

    void faultEnded(int proxy) {
        ledger.faultEnded(proxy, clock.now());
    }

    /** Records that the links between proxies have been restored. */
    void linksRestored() {
        for (int i = 0; i < experiment.proxies().count(); i++) {
            faultEnded(i);
        }
    }

    /** Proposes the next policy through a proxy as an operator would, and waits for the answer. */
    String propose(int proxy) {
        String content = ProposedPolicies.content(proposalCount.incrementAndGet());
        ledger.proposalSent(content, clock.now());
        try {
            PolicySocket.Answer reply =
                    PolicySocket.ask(operatorSocket(proxy), "propose", content, 0);
            ledger.proposalAnswered(content, reply.ending(), clock.now());
            return reply.text();
        } catch (IOException e) {
            ledger.proposalAnswered(content, ProposalStatus.UNKNOWN, clock.now());
            return "no answer: " + e.getMessage();
        }
    }

    /** Returns the proxy that last logged that it became leader, or -1. */
    int leader() {
        return leader;
    }

    PolicyLedger ledger() {
        return ledger;
    }
}
