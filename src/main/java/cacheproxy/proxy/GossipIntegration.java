package cacheproxy.proxy;

import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.config.Options;
import cacheproxy.gossip.GossipSocket;
import cacheproxy.gossip.KeyException;
import cacheproxy.membership.Gossip;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;

/**
 * Connects a proxy to the gossip of the fleet, in both directions. A separate class, so that a
 * proxy without gossip loads no class of the gossip packages.
 */
final class GossipIntegration implements Proxy.NodeObserver {

    private final GossipSocket socket;

    private GossipIntegration(GossipSocket socket) {
        this.socket = socket;
    }

    /**
     * Starts listening and sending. Changes of the suspicion of a node are passed to {@code proxy}
     * on the event loop.
     */
    static GossipIntegration open(
            EventLoop loop, Clock clock, long seed, Options.Gossip options, Proxy proxy)
            throws IOException, InterruptedException, ConfigException {
        try {
            return new GossipIntegration(
                    GossipSocket.open(
                            loop,
                            clock::now,
                            seed,
                            options,
                            new GossipSocket.Hooks() {
                                @Override
                                public void nodeSuspicionChanged(String node, boolean suspected) {
                                    proxy.suspicionChanged(node, suspected);
                                }

                                @Override
                                public void event(String name, Object... fields) {
                                    Log.event(name, fields);
                                }
                            }));
        } catch (KeyException e) {
            throw new ConfigException("gossip: " + e.getMessage());
        }
    }

    /** Reads the keys again. If they are invalid, the present ones stay in use. */
    void reload() throws ConfigException {
        try {
            socket.reload();
        } catch (KeyException e) {
            throw new ConfigException("gossip: " + e.getMessage());
        }
    }

    /** Announces to the other members that this proxy leaves. */
    void leave() {
        socket.leave();
    }

    void close() {
        socket.close();
    }

    void logTally() {
        Gossip.Counts counts = socket.counts();
        Log.event(
                "gossip_tally",
                "sent",
                counts.sent(),
                "bytes",
                counts.sentBytes(),
                "received",
                counts.received(),
                "rubbish",
                counts.invalid(),
                "replayed",
                counts.replayed(),
                "verified",
                counts.verified(),
                "held_back",
                counts.rateLimited());
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<Node> nodes) {
        socket.updateNodes(kind, nodes);
    }

    @Override
    public void onAttemptSent(String node) {
        socket.attemptStarted(node);
    }

    @Override
    public void onAttemptEnded(String node, Outcome outcome, double elapsedMs) {
        socket.attemptEnded(node, outcome, elapsedMs);
    }

    @Override
    public void onProbeCompleted(String node, Outcome outcome) {
        socket.probeEnded(node, outcome);
    }
}
