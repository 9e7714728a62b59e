package cacheproxy.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.Node;
import cacheproxy.lab.ExperimentFile;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks in the ledger how much work a cold node gets from all proxies together: for any number of
 * proxies it must not exceed the node's allowance. The scenario is
 * experiments/scale/cold-fleet.toml.
 */
class ColdFleetTest {

    private static Map<String, Double> run(
            int proxies, int seed, VirtualRun.RouterFactory routerFactory) throws Exception {
        return run("cold-fleet", proxies, seed, routerFactory);
    }

    private static Map<String, Double> run(
            String experiment, int proxies, int seed, VirtualRun.RouterFactory routerFactory)
            throws Exception {
        return new VirtualRun(
                        ExperimentFile.read(
                                Path.of("experiments/scale/" + experiment + ".toml"),
                                Map.of(
                                        "proxies.count",
                                        String.valueOf(proxies),
                                        "seed",
                                        String.valueOf(seed))),
                        routerFactory)
                .run()
                .figures();
    }

    @ParameterizedTest
    @CsvSource({"3, 2", "6, 11", "20, 20", "30, 16", "100, 4"})
    void noWarmingNodeGetsMoreThanItsAllowance(int proxies, int seed) throws Exception {
        Map<String, Double> figures = run(proxies, seed, DecisionModule::new);
        assertTrue(figures.get("cold.starts") >= 24, figures.toString());
        assertTrue(figures.get("cold.work_over_allowed_max") <= 1, figures.toString());
        assertTrue(figures.get("violations.cold_node") == 0, figures.toString());
    }

    /**
     * Cold nodes that return from maintenance are used up to their allowance, so that few requests
     * are refused.
     */
    @Test
    void nodesReturningFromMaintenanceStayWithinTheirAllowance() throws Exception {
        Map<String, Double> figures = run("maintenance", 4, 3, DecisionModule::new);
        assertTrue(figures.get("cold.starts") == 6, figures.toString());
        assertTrue(figures.get("cold.work_over_allowed_max") <= 1, figures.toString());
        assertTrue(figures.get("refused.share") <= 0.05, figures.toString());
    }

    /** A module that does not learn of node starts gives a cold node its full share at once. */
    @Test
    void fullShareWithoutSlowStartExceedsTheAllowance() throws Exception {
        Map<String, Double> figures = run(30, 2, ColdFleetTest::withoutSlowStart);
        assertTrue(figures.get("violations.cold_node") > 0, figures.toString());
    }

    private static Router withoutSlowStart(Router.Settings settings, long seed) {
        DecisionModule inner = new DecisionModule(settings, seed);
        return (Router)
                java.lang.reflect.Proxy.newProxyInstance(
                        Router.class.getClassLoader(),
                        new Class<?>[] {Router.class},
                        (proxy, method, args) -> {
                            if (method.getName().equals("endpointListReceived")) {
                                args[3] =
                                        ((List<?>) args[3])
                                                .stream()
                                                        .map(Node.class::cast)
                                                        .map(
                                                                node ->
                                                                        new Node(
                                                                                node.id(),
                                                                                node.model(),
                                                                                node.zone(),
                                                                                node.cell(),
                                                                                node.weight(),
                                                                                0,
                                                                                node
                                                                                        .availability()))
                                                        .toList();
                            }
                            try {
                                return method.invoke(inner, args);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
    }
}
