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
final class PolicyIntegration {

    private final Proxy proxy;
    private final Predicate<String> isInMaintenanceByOperators;
    private final Set<String> policyNodes = new HashSet<>();
    private final Set<String> nodesInMaintenance = new HashSet<>();
    private PolicyService policyService;

    private PolicyIntegration(Proxy proxy, Predicate<String> isInMaintenanceByOperators) {
        this.proxy = proxy;
        this.isInMaintenanceByOperators = isInMaintenanceByOperators;
    }

    /**
     * Begins; {@code configure} takes what an epoch says, on the loop.
     *
     * @param outByOperators whether this proxy's own operators hold a node out, which no policy
     *     ends
     */
    static PolicyIntegration open(
            EventLoop loop,
            Options ownOptions,
            long seed,
            Proxy proxy,
            Predicate<String> isInMaintenanceByOperators,
            Consumer<Options> configure)
            throws IOException, InterruptedException {
        PolicyIntegration integration = new PolicyIntegration(proxy, isInMaintenanceByOperators);
        loop.submit(() -> integration.setPolicyNodes(ownOptions.nodes().out())).sync();
        integration.policyService =
                PolicyService.open(
                        loop,
                        ownOptions,
                        Path.of(
                                System.getenv()
                                        .getOrDefault(
                                                "TMPDIR", System.getProperty("java.io.tmpdir"))),
                        seed,
                        new PolicyService.Hooks() {
                            @Override
                            public void apply(Options options) {
                                configure.accept(options);
                                integration.setPolicyNodes(options.nodes().out());
                            }

                            @Override
                            public void event(String name, Object... fields) {
                                Log.event(name, fields);
                            }
                        });
        return integration;
    }

    private void setPolicyNodes(List<String> nodes) {
        policyNodes.clear();
        policyNodes.addAll(nodes);
        applyMaintenance();
    }

    /** On the loop, now and then: a node that no list had named is taken out once one has. */
    void applyMaintenance() {
        for (String node : policyNodes) {
            if (!nodesInMaintenance.contains(node) && proxy.setMaintenance(node, true)) {
                nodesInMaintenance.add(node);
                Log.event("policy_node", "node", node, "out", true);
            }
        }
        for (String node : List.copyOf(nodesInMaintenance)) {
            if (!policyNodes.contains(node)) {
                nodesInMaintenance.remove(node);
                if (!isInMaintenanceByOperators.test(node)) {
                    proxy.setMaintenance(node, false);
                }
                Log.event("policy_node", "node", node, "out", false);
            }
        }
    }

    void close() {
        policyService.close();
    }
}
