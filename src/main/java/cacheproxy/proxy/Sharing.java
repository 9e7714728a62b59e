package cacheproxy.proxy;

import cacheproxy.Router.ListKind;
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
 * Joins a proxy to the fleet's gossip, both ways. Held apart, so that a proxy that shares nothing
 * loads nothing of it.
 */
final class Sharing implements Proxy.Watch {

    private final GossipSocket socket;

    private Sharing(GossipSocket socket) {
        this.socket = socket;
    }

    /** Begins to listen and to tell; {@code proxy} hears of doubts on the loop. */
    static Sharing open(EventLoop loop, Clock clock, long seed, Options.Gossip options, Proxy proxy)
            throws IOException, InterruptedException, ConfigException {
        try {
            return new Sharing(
                    GossipSocket.open(
                            loop,
                            clock::now,
                            seed,
                            options,
                            new GossipSocket.Hooks() {
                                @Override
                                public void standing(String node, boolean doubted) {
                                    proxy.standing(node, doubted);
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

    /** Reads the keys again; what is wrong with them changes nothing. */
    void reload() throws ConfigException {
        try {
            socket.reload();
        } catch (KeyException e) {
            throw new ConfigException("gossip: " + e.getMessage());
        }
    }

    void leave() {
        socket.leave();
    }

    void close() {
        socket.close();
    }

    void logTally() {
        Gossip.Counts c = socket.counts();
        Log.event(
                "gossip_tally",
                "sent",
                c.sent(),
                "bytes",
                c.sentBytes(),
                "received",
                c.received(),
                "rubbish",
                c.rubbish(),
                "replayed",
                c.replayed(),
                "verified",
                c.verified(),
                "held_back",
                c.heldBack());
    }

    @Override
    public void listed(ListKind kind, List<Node> nodes) {
        socket.listed(kind, nodes);
    }

    @Override
    public void sent(String node) {
        socket.sent(node);
    }

    @Override
    public void ended(String node, Outcome outcome, double elapsedMs) {
        socket.ended(node, outcome, elapsedMs);
    }

    @Override
    public void probed(String node, Outcome outcome) {
        socket.probed(node, outcome);
    }
}
