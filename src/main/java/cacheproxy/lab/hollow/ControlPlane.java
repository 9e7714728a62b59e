package cacheproxy.lab.hollow;

import cacheproxy.config.Options;
import cacheproxy.gossip.GossipSocket;
import cacheproxy.gossip.KeyException;
import cacheproxy.raft.PolicyService;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One control plane without clients: the gossip and policy components of a proxy or of a control
 * machine, on sockets of their own, with the events they report and the traffic of their sockets.
 */
final class ControlPlane {

    private static final double NS_PER_MS = 1e6;

    /** An epoch that was applied here, at a time of the machine's monotonic clock in ms. */
    record AppliedEpoch(long epoch, double atMs) {}

    private final int number;
    private final EventLoop loop;
    private final LinkConditions links;
    private final Options options;
    private long seed;
    private GossipSocket gossip;
    private PolicyService policy;

    // Accessed only on the event loop.
    final Traffic packets = new Traffic();
    final Traffic streams = new Traffic();
    final Set<String> knownMembers = new TreeSet<>();
    final List<AppliedEpoch> appliedEpochs = new ArrayList<>();
    long suspicions;
    long deaths;
    boolean policyCurrent;
    boolean leader;

    ControlPlane(int number, EventLoop loop, LinkConditions links, Options options, long seed) {
        this.number = number;
        this.loop = loop;
        this.links = links;
        this.options = options;
        this.seed = seed;
    }

    /**
     * Opens the sockets and starts the components with a new seed, as a process start does. Must
     * not be called on the event loop.
     */
    void start() throws IOException, InterruptedException, KeyException {
        seed++;
        if (options.gossip().enabled()) {
            gossip =
                    GossipSocket.open(
                            loop,
                            () -> System.nanoTime() / NS_PER_MS,
                            seed,
                            options.gossip(),
                            new GossipSocket.Hooks() {
                                @Override
                                public void nodeSuspicionChanged(String node, boolean suspected) {
                                    // A control plane without clients sends no requests to nodes.
                                }

                                @Override
                                public void event(String name, Object... fields) {
                                    handleEvent(name, fields);
                                }

                                @Override
                                public void initializeChannel(Channel socket) {
                                    socket.pipeline()
                                            .addLast(new PacketLinkHandler(number, links, packets));
                                }
                            });
        }
        if (options.policy().enabled()) {
            policy =
                    PolicyService.open(
                            loop,
                            options,
                            null,
                            seed,
                            new PolicyService.Hooks() {
                                @Override
                                public void apply(Options next) {
                                    // There is no proxy whose options an epoch could change.
                                }

                                @Override
                                public void event(String name, Object... fields) {
                                    handleEvent(name, fields);
                                }

                                @Override
                                public void connectionOpened(Channel connection) {
                                    connection
                                            .pipeline()
                                            .addLast(new StreamLinkHandler(number, links, streams));
                                }
                            });
        }
    }

    private void handleEvent(String event, Object... fields) {
        String subject = String.valueOf(fields[1]);
        switch (event) {
            case "gossip_member" -> knownMembers.add(subject);
            case "gossip_suspected" -> suspicions++;
            case "gossip_died" -> {
                deaths++;
                knownMembers.remove(subject);
            }
            case "gossip_left" -> knownMembers.remove(subject);
            case "policy_current" -> policyCurrent = true;
            case "policy_not_current" -> policyCurrent = false;
            case "policy_leads" -> leader = true;
            case "policy_applied" ->
                    appliedEpochs.add(
                            new AppliedEpoch(
                                    Long.parseLong(subject),
                                    Double.parseDouble(
                                            String.valueOf(fields[3]).substring("at:".length()))));
            default -> {}
        }
    }

    /** Announces to the other members that this one leaves, as a process does at SIGTERM. */
    void leave() {
        loop.execute(
                () -> {
                    if (gossip != null) {
                        gossip.leave();
                    }
                });
    }

    /** Closes the components at once. Must not be called on the event loop. */
    void stop() throws InterruptedException {
        loop.submit(
                        () -> {
                            if (gossip != null) {
                                gossip.close();
                            }
                            if (policy != null) {
                                policy.close();
                            }
                            knownMembers.clear();
                            policyCurrent = false;
                        })
                .sync();
    }
}
