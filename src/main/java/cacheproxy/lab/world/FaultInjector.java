package cacheproxy.lab.world;

import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.ledger.Ledger;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Injects the faults that affect machines and the endpoint list. Both drivers use it, each with its
 * own clock.
 */
public final class FaultInjector {

    private static final double MS_PER_S = 1000;

    private final World world;
    private final World.Effects effects;
    private final Installation installation;
    private final Ledger ledger;

    public FaultInjector(
            World world, World.Effects effects, Installation installation, Ledger ledger) {
        this.world = world;
        this.effects = effects;
        this.installation = installation;
        this.ledger = ledger;
    }

    /** Returns the machines that a fault affects. */
    public List<String> affectedNodes(Fault fault) {
        if (fault.kind() == Fault.Kind.NODE_START
                || fault.target().equals(installation.origin().id())) {
            return List.of(fault.target());
        }
        List<Installation.NodeSpec> nodes = installation.nodes();
        return IntStream.range(0, nodes.size())
                .filter(
                        i ->
                                fault.affectsNode(
                                        i,
                                        installation.zones().get(nodes.get(i).zone()),
                                        nodes.size()))
                .mapToObj(i -> nodes.get(i).id())
                .toList();
    }

    /** Begins a fault; returns false if the driver has to inject it itself. */
    public boolean begin(Fault fault, double now) {
        switch (fault.kind()) {
            case NODE_KILL, NODE_RESTART ->
                    affectedNodes(fault).forEach(id -> world.kill(now, id, effects));
            case NODE_START -> startNode(fault.target(), now);
            case NODE_DRAIN ->
                    affectedNodes(fault)
                            .forEach(
                                    id -> {
                                        world.drain(now, id, effects);
                                        ledger.changed(id, World.Health.DRAINING, -1, now);
                                    });
            case NODE_SLOW ->
                    affectedNodes(fault)
                            .forEach(id -> world.setSlowdown(now, id, fault.factor(), effects));
            case NODE_ERRORS ->
                    affectedNodes(fault).forEach(id -> world.setErrorShare(id, fault.share()));
            case RESET_AFTER ->
                    affectedNodes(fault)
                            .forEach(id -> world.setAnswerFaults(id, 0, 0, fault.share()));
            case HALF_ANSWER ->
                    affectedNodes(fault)
                            .forEach(id -> world.setAnswerFaults(id, fault.share(), 0, 0));
            case SPOILT_ANSWER ->
                    affectedNodes(fault)
                            .forEach(id -> world.setAnswerFaults(id, 0, fault.share(), 0));
            case ORIGIN_STALL ->
                    world.stall(now, installation.origin().id(), fault.endMs(), effects);
            case ORIGIN_SLOW ->
                    world.setSlowdown(now, installation.origin().id(), fault.factor(), effects);
            case DISCOVERY_STALE -> world.setExtraListDelay(fault.factor() * MS_PER_S);
            case MASS_VOIDING -> world.expireCopies(fault.share());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Ends a fault that was begun with {@link #begin}. */
    public void end(Fault fault, double now) {
        switch (fault.kind()) {
            case NODE_RESTART -> affectedNodes(fault).forEach(id -> startNode(id, now));
            case NODE_DRAIN -> affectedNodes(fault).forEach(id -> world.kill(now, id, effects));
            case NODE_SLOW ->
                    affectedNodes(fault).forEach(id -> world.setSlowdown(now, id, 1, effects));
            case NODE_ERRORS -> affectedNodes(fault).forEach(id -> world.setErrorShare(id, 0));
            case RESET_AFTER, HALF_ANSWER, SPOILT_ANSWER ->
                    affectedNodes(fault).forEach(id -> world.setAnswerFaults(id, 0, 0, 0));
            case ORIGIN_SLOW -> world.setSlowdown(now, installation.origin().id(), 1, effects);
            case DISCOVERY_STALE -> world.setExtraListDelay(0);
            default -> {}
        }
    }

    private void startNode(String id, double now) {
        world.start(now, id, effects);
        installation.allNodes().stream()
                .filter(n -> n.id().equals(id))
                .forEach(
                        n ->
                                ledger.started(
                                        new Ledger.MachineStart(
                                                id,
                                                now,
                                                n.machine().cores() * n.machine().speed(),
                                                world.slowStartAllowance())));
    }
}
