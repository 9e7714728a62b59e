package cacheproxy.lab.load;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.ScenarioGenerator;
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
 * All requests of a run, in order of arrival. The load is an open loop: arrivals do not depend on
 * the answers of the proxies. Retries are not part of the plan. The same experiment and seed give
 * the same plan, byte for byte.
 */
public final class LoadPlan {

    /**
     * Shape parameter of the gamma distribution of the work around the mean of its class. With 2,
     * the squared coefficient of variation is half that of an exponential distribution.
     */
    private static final double WORK_SHAPE = 2;

    /**
     * A request of the plan.
     *
     * @param timeoutFraction fraction of the deadline after which the client gives up a try
     * @param retryPauseFraction position of the pause before a retry in its range, 0 to 1
     * @param honorsRetryAfter whether this client waits as long as Retry-After demands
     */
    public record PlannedRequest(
            int index,
            double atMs,
            int classIndex,
            long key,
            double workMs,
            double hintMs,
            int zone,
            double timeoutFraction,
            double retryPauseFraction,
            boolean honorsRetryAfter) {}

    private final Experiment.Load load;
    private final List<PlannedRequest> requests;

    private LoadPlan(Experiment.Load load, List<PlannedRequest> requests) {
        this.load = load;
        this.requests = requests;
    }

    public static LoadPlan of(Experiment experiment) {
        Experiment.Load load = experiment.load();
        RandomGenerator arrivalRandom =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.ARRIVALS);
        RandomGenerator keyRandom =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.KEYS);
        RandomGenerator workRandom =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.WORK);
        RandomGenerator clientRandom =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.CLIENTS);
        RandomGenerator faultRandom =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.FAULTS);
        ZipfDistribution zipf =
                new ZipfDistribution(keyRandom, (int) experiment.fleet().keys(), load.zipf());
        double[] meanWorkMs =
                load.classes().stream()
                        .mapToDouble(
                                c ->
                                        c.workMs()[0]
                                                + (c.workMs()[1] - c.workMs()[0])
                                                        * clientRandom.nextDouble())
                        .toArray();
        double totalShare = load.classes().stream().mapToDouble(Experiment.Class::share).sum();
        List<PlannedRequest> requests = new ArrayList<>();
        double endMs = experiment.durationS() * 1000;
        double atMs = 0;
        while (true) {
            double factor = 1;
            for (Fault fault : experiment.faults()) {
                factor *=
                        fault.kind() == Fault.Kind.BURST && fault.isActiveAt(atMs)
                                ? fault.factor()
                                : 1;
            }
            atMs += -Math.log(1 - arrivalRandom.nextDouble()) * 1000 / (load.rate() * factor);
            if (atMs >= endMs) {
                return new LoadPlan(load, List.copyOf(requests));
            }
            int classIndex = pickClass(load.classes(), clientRandom.nextDouble() * totalShare);
            double workMs = meanWorkMs[classIndex] * gammaSample(workRandom);
            long key = keyOfRank(zipf.sample() - 1, atMs, load.drift(), experiment.fleet().keys());
            // A separate random stream: faults that do not change the load leave the plan as it is.
            for (Fault fault :
                    experiment.faults().stream()
                            .filter(fault -> fault.kind().changesLoad())
                            .toList()) {
                double uniform = faultRandom.nextDouble();
                if (fault.kind() == Fault.Kind.HOT_KEY
                        && fault.isActiveAt(atMs)
                        && uniform < fault.share()) {
                    key =
                            (experiment.fleet().keys() / 2
                                            + (long) (uniform / fault.share() * fault.keys()))
                                    % experiment.fleet().keys();
                } else if (fault.kind() == Fault.Kind.HEAVY
                        && fault.isActiveAt(atMs)
                        && fault.target().equals(load.classes().get(classIndex).name())
                        && uniform < fault.share()) {
                    workMs *= fault.factor();
                }
            }
            double hintMs = workMs * Math.exp(load.costHintError() * clientRandom.nextGaussian());
            requests.add(
                    new PlannedRequest(
                            requests.size(),
                            atMs,
                            classIndex,
                            key,
                            workMs,
                            hintMs,
                            clientRandom.nextInt(experiment.fleet().zones().size()),
                            load.patience()[0]
                                    + (load.patience()[1] - load.patience()[0])
                                            * clientRandom.nextDouble(),
                            clientRandom.nextDouble(),
                            clientRandom.nextDouble() < load.honours()));
        }
    }

    private static int pickClass(List<Experiment.Class> classes, double uniform) {
        double cumulativeShare = 0;
        for (int i = 0; i < classes.size(); i++) {
            cumulativeShare += classes.get(i).share();
            if (uniform < cumulativeShare) {
                return i;
            }
        }
        return classes.size() - 1;
    }

    /** Returns a gamma sample of shape 2 and mean 1: the mean of two exponential samples. */
    private static double gammaSample(RandomGenerator random) {
        return -Math.log((1 - random.nextDouble()) * (1 - random.nextDouble())) / WORK_SHAPE;
    }

    /**
     * Returns the key of a popularity rank at a time. Each second a fraction {@code drift} of the
     * ranks moves to other keys.
     */
    private static long keyOfRank(long rank, double atMs, double drift, long keys) {
        long shift =
                (long) (drift * atMs / 1000 + ((rank * 0x9E3779B97F4A7C15L) >>> 11) * 0x1.0p-53);
        return (rank + shift * 7919) % keys;
    }

    /**
     * Returns the mean work of reads as hits, in core-milliseconds. Writes do not count, as cache
     * nodes get none.
     */
    public double meanReadMs() {
        return requests.stream()
                .filter(f -> !load.classes().get(f.classIndex()).write())
                .mapToDouble(PlannedRequest::workMs)
                .average()
                .orElse(1);
    }

    public List<PlannedRequest> requests() {
        return requests;
    }

    /** Returns the SHA-256 over the fields of all requests. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            ByteBuffer buffer = ByteBuffer.allocate(9 * Long.BYTES);
            for (PlannedRequest request : requests) {
                buffer.clear()
                        .putDouble(request.atMs())
                        .putInt(request.classIndex())
                        .putLong(request.key())
                        .putDouble(request.workMs())
                        .putDouble(request.hintMs())
                        .putInt(request.zone())
                        .putDouble(request.timeoutFraction())
                        .putDouble(request.retryPauseFraction())
                        .put((byte) (request.honorsRetryAfter() ? 1 : 0));
                sha.update(buffer.flip());
            }
            return HexFormat.of().formatHex(sha.digest());
        } catch (NoSuchAlgorithmException ex) {
            throw new IllegalStateException("SHA-256 is not available in this JVM", ex);
        }
    }
}
