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
 * Connects a proxy to the policy service of the fleet. A separate class, so that a proxy that uses
 * only its own options file loads no class of the policy packages.
 */
final class PolicyIntegration {

    private final Proxy proxy;
    private final Predicate<String> isInMaintenanceByOperators;

    /** The nodes that the policy in force puts into maintenance. */
    private final Set<String> policyNodes = new HashSet<>();

    /** The nodes for which this class has started maintenance. */
    private final Set<String> nodesInMaintenance = new HashSet<>();

    private PolicyService policyService;

    private PolicyIntegration(Proxy proxy, Predicate<String> isInMaintenanceByOperators) {
        this.proxy = proxy;
        this.isInMaintenanceByOperators = isInMaintenanceByOperators;
    }

    /**
     * Starts the policy service.
     *
     * @param isInMaintenanceByOperators whether operators have put a node into maintenance at this
     *     proxy, which no policy ends
     * @param configure receives the options of each applied epoch, on the event loop
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

    /**
     * Puts nodes into maintenance, or ends it, as the policy demands. Runs on the event loop, at
     * each change of the policy and periodically: a node that no endpoint list has contained so far
     * enters maintenance once one does.
     */
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
