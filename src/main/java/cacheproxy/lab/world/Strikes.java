package cacheproxy.lab.world;

import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.ledger.Ledger;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Carries out those faults that strike machines and the list; both drivers call it, each for its
 * own clock.
 */
public final class Strikes {

    private static final double MS_PER_S = 1000;

    private final World world;
    private final World.Effects effects;
    private final Installation plan;
    private final Ledger ledger;

    public Strikes(World world, World.Effects effects, Installation plan, Ledger ledger) {
        this.world = world;
        this.effects = effects;
        this.plan = plan;
        this.ledger = ledger;
    }

    /** The nodes that a fault strikes. */
    public List<String> targets(Fault fault) {
        if (fault.what() == Fault.Kind.NODE_START || fault.target().equals(plan.origin().id())) {
            return List.of(fault.target());
        }
        List<Installation.NodeMake> nodes = plan.nodes();
        return IntStream.range(0, nodes.size())
                .filter(
                        i ->
                                fault.strikesNode(
                                        i, plan.zones().get(nodes.get(i).zone()), nodes.size()))
                .mapToObj(i -> nodes.get(i).id())
                .toList();
    }

    /** Begins a fault; returns false where it is the driver's own. */
    public boolean begin(Fault fault, double now) {
        switch (fault.what()) {
            case NODE_KILL, NODE_RESTART ->
                    targets(fault).forEach(id -> world.kill(now, id, effects));
            case NODE_START -> startCold(fault.target(), now);
            case NODE_DRAIN ->
                    targets(fault)
                            .forEach(
                                    id -> {
                                        world.drain(now, id, effects);
                                        ledger.changed(id, World.Health.DRAINING, -1, now);
                                    });
            case NODE_SLOW ->
                    targets(fault).forEach(id -> world.slow(now, id, fault.factor(), effects));
            case NODE_ERRORS -> targets(fault).forEach(id -> world.err(id, fault.share()));
            case RESET_AFTER -> targets(fault).forEach(id -> world.spoil(id, 0, 0, fault.share()));
            case HALF_ANSWER -> targets(fault).forEach(id -> world.spoil(id, fault.share(), 0, 0));
            case SPOILT_ANSWER ->
                    targets(fault).forEach(id -> world.spoil(id, 0, fault.share(), 0));
            case ORIGIN_STALL -> world.stall(now, plan.origin().id(), fault.endMs(), effects);
            case ORIGIN_SLOW -> world.slow(now, plan.origin().id(), fault.factor(), effects);
            case DISCOVERY_STALE -> world.delayNews(fault.factor() * MS_PER_S);
            case MASS_VOIDING -> world.voidCopies(fault.share());
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Ends a fault that {@link #begin} began. */
    public void end(Fault fault, double now) {
        switch (fault.what()) {
            case NODE_RESTART -> targets(fault).forEach(id -> startCold(id, now));
            case NODE_DRAIN -> targets(fault).forEach(id -> world.kill(now, id, effects));
            case NODE_SLOW -> targets(fault).forEach(id -> world.slow(now, id, 1, effects));
            case NODE_ERRORS -> targets(fault).forEach(id -> world.err(id, 0));
            case RESET_AFTER, HALF_ANSWER, SPOILT_ANSWER ->
                    targets(fault).forEach(id -> world.spoil(id, 0, 0, 0));
            case ORIGIN_SLOW -> world.slow(now, plan.origin().id(), 1, effects);
            case DISCOVERY_STALE -> world.delayNews(0);
            default -> {}
        }
    }

    private void startCold(String id, double now) {
        world.start(now, id, effects);
        plan.machines().stream()
                .filter(n -> n.id().equals(id))
                .forEach(
                        n ->
                                ledger.started(
                                        new Ledger.Started(
                                                id,
                                                now,
                                                n.machine().cores() * n.machine().speed(),
                                                world.coldAllowance())));
    }
}
