package cacheproxy.proxy;

import cacheproxy.config.Options;
import cacheproxy.raft.PolicyService;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Joins a proxy to the fleet's policy. Held apart, so that a proxy that goes by its own file loads
 * nothing of it.
 */
final class Governing {

    private final Proxy proxy;
    private final Predicate<String> outByOperators;
    private final Set<String> wanted = new HashSet<>();
    private final Set<String> out = new HashSet<>();
    private PolicyService service;

    private Governing(Proxy proxy, Predicate<String> outByOperators) {
        this.proxy = proxy;
        this.outByOperators = outByOperators;
    }

    /**
     * Begins; {@code configure} takes what an epoch says, on the loop.
     *
     * @param outByOperators whether this proxy's own operators hold a node out, which no policy
     *     ends
     */
    static Governing open(
            EventLoop loop,
            Options own,
            long seed,
            Proxy proxy,
            Predicate<String> outByOperators,
            Consumer<Options> configure)
            throws IOException, InterruptedException {
        Governing governing = new Governing(proxy, outByOperators);
        loop.submit(() -> governing.want(own.nodes().out())).sync();
        governing.service =
                PolicyService.open(
                        loop,
                        own,
                        Path.of(
                                System.getenv()
                                        .getOrDefault(
                                                "TMPDIR", System.getProperty("java.io.tmpdir"))),
                        seed,
                        new PolicyService.Hooks() {
                            @Override
                            public void apply(Options options) {
                                configure.accept(options);
                                governing.want(options.nodes().out());
                            }

                            @Override
                            public void event(String name, Object... fields) {
                                Log.event(name, fields);
                            }
                        });
        return governing;
    }

    private void want(List<String> nodes) {
        wanted.clear();
        wanted.addAll(nodes);
        look();
    }

    /** On the loop, now and then: a node that no list had named is taken out once one has. */
    void look() {
        for (String node : wanted) {
            if (!out.contains(node) && proxy.maintain(node, true)) {
                out.add(node);
                Log.event("policy_node", "node", node, "out", true);
            }
        }
        for (String node : List.copyOf(out)) {
            if (!wanted.contains(node)) {
                out.remove(node);
                if (!outByOperators.test(node)) {
                    proxy.maintain(node, false);
                }
                Log.event("policy_node", "node", node, "out", false);
            }
        }
    }

    void close() {
        service.close();
    }
}
