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
 * One plane: a proxy's gossip and policy on its own sockets, or a control machine's, with what they
 * tell and what passes their sockets.
 */
final class ControlPlane {

    private static final double NS_PER_MS = 1e6;

    /** An epoch came in force here, at a time of the machine's monotonic clock. */
    record AppliedEpoch(long epoch, double atMs) {}

    private final int number;
    private final EventLoop loop;
    private final LinkConditions links;
    private final Options options;
    private long seed;
    private GossipSocket gossip;
    private PolicyService policy;

    // Changed and read on the loop.
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

    /** Opens its sockets and begins, as a process that starts does; not on the loop. */
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
                                    // A hollow proxy sends to no node.
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
                                    // What an epoch says has nothing here to act on.
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

    /** Tells the others that it goes, as a process that is told to end does. */
    void leave() {
        loop.execute(
                () -> {
                    if (gossip != null) {
                        gossip.leave();
                    }
                });
    }

    /** Ends it at once. Not on the loop. */
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
