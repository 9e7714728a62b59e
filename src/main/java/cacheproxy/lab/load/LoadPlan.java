package cacheproxy.lab.load;

import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.Fault;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Every first try of a run, in the order of arrival: an open loop, so that nothing a proxy does can
 * change when the next one comes. The same experiment and seed give the same plan, byte for byte.
 */
public final class LoadPlan {

    /**
     * Spread of the work around its class's mean: the square of the coefficient of variation of an
     * exponential, halved.
     */
    private static final double WORK_SHAPE = 2;

    /**
     * A first try. {@code patience} is the part of the deadline after which a try is given up,
     * {@code pause} places the pause before a retry in its range, {@code honours} whether this
     * client heeds a Retry-After.
     */
    public record First(
            int index,
            double atMs,
            int type,
            long key,
            double workMs,
            double hintMs,
            int zone,
            double patience,
            double pause,
            boolean honours) {}

    private final Experiment.Load load;
    private final List<First> firsts;

    private LoadPlan(Experiment.Load load, List<First> firsts) {
        this.load = load;
        this.firsts = firsts;
    }

    public static LoadPlan of(Experiment e) {
        Experiment.Load load = e.load();
        RandomGenerator arrivals = Draw.generator(e.seed(), Draw.Stream.ARRIVALS);
        RandomGenerator keyDraw = Draw.generator(e.seed(), Draw.Stream.KEYS);
        RandomGenerator workDraw = Draw.generator(e.seed(), Draw.Stream.WORK);
        RandomGenerator clients = Draw.generator(e.seed(), Draw.Stream.CLIENTS);
        RandomGenerator faultDraw = Draw.generator(e.seed(), Draw.Stream.FAULTS);
        ZipfDistribution zipf = new ZipfDistribution(keyDraw, (int) e.fleet().keys(), load.zipf());
        double[] means =
                load.classes().stream()
                        .mapToDouble(
                                c ->
                                        c.workMs()[0]
                                                + (c.workMs()[1] - c.workMs()[0])
                                                        * clients.nextDouble())
                        .toArray();
        double shares = load.classes().stream().mapToDouble(Experiment.Class::share).sum();
        List<First> firsts = new ArrayList<>();
        double end = e.durationS() * 1000;
        double at = 0;
        while (true) {
            double factor = 1;
            for (Fault f : e.faults()) {
                factor *= f.what() == Fault.Kind.BURST && f.at(at) ? f.factor() : 1;
            }
            at += -Math.log(1 - arrivals.nextDouble()) * 1000 / (load.rate() * factor);
            if (at >= end) {
                return new LoadPlan(load, List.copyOf(firsts));
            }
            int type = type(load.classes(), clients.nextDouble() * shares);
            double work = means[type] * gamma(workDraw);
            long key = drifted(zipf.sample() - 1, at, load.drift(), e.fleet().keys());
            // From a stream of their own: a fault that strikes machines leaves the load as it is.
            for (Fault f : e.faults().stream().filter(f -> f.what().ofLoad()).toList()) {
                double u = faultDraw.nextDouble();
                if (f.what() == Fault.Kind.HOT_KEY && f.at(at) && u < f.share()) {
                    key =
                            (e.fleet().keys() / 2 + (long) (u / f.share() * f.keys()))
                                    % e.fleet().keys();
                } else if (f.what() == Fault.Kind.HEAVY
                        && f.at(at)
                        && f.target().equals(load.classes().get(type).name())
                        && u < f.share()) {
                    work *= f.factor();
                }
            }
            double hint = work * Math.exp(load.costHintError() * clients.nextGaussian());
            firsts.add(
                    new First(
                            firsts.size(),
                            at,
                            type,
                            key,
                            work,
                            hint,
                            clients.nextInt(e.fleet().zones().size()),
                            load.patience()[0]
                                    + (load.patience()[1] - load.patience()[0])
                                            * clients.nextDouble(),
                            clients.nextDouble(),
                            clients.nextDouble() < load.honours()));
        }
    }

    private static int type(List<Experiment.Class> classes, double u) {
        double passed = 0;
        for (int i = 0; i < classes.size(); i++) {
            passed += classes.get(i).share();
            if (u < passed) {
                return i;
            }
        }
        return classes.size() - 1;
    }

    /** Mean 1: the mean of two exponentials. */
    private static double gamma(RandomGenerator random) {
        return -Math.log((1 - random.nextDouble()) * (1 - random.nextDouble())) / WORK_SHAPE;
    }

    /** Popularity moves on: each second a part {@code drift} of the ranks belongs to other keys. */
    private static long drifted(long rank, double atMs, double drift, long keys) {
        long moved =
                (long) (drift * atMs / 1000 + ((rank * 0x9E3779B97F4A7C15L) >>> 11) * 0x1.0p-53);
        return (rank + moved * 7919) % keys;
    }

    /** Mean work of a read that is a hit, as cache nodes get no writes; core-milliseconds. */
    public double meanReadMs() {
        return firsts.stream()
                .filter(f -> !load.classes().get(f.type()).write())
                .mapToDouble(First::workMs)
                .average()
                .orElse(1);
    }

    public List<First> firsts() {
        return firsts;
    }

    /** SHA-256 over every field of every first try. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            ByteBuffer line = ByteBuffer.allocate(9 * Long.BYTES);
            for (First f : firsts) {
                line.clear()
                        .putDouble(f.atMs())
                        .putInt(f.type())
                        .putLong(f.key())
                        .putDouble(f.workMs())
                        .putDouble(f.hintMs())
                        .putInt(f.zone())
                        .putDouble(f.patience())
                        .putDouble(f.pause())
                        .put((byte) (f.honours() ? 1 : 0));
                sha.update(line.flip());
            }
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException ex) {
            throw new IllegalStateException("every Java has SHA-256", ex);
        }
    }
}
