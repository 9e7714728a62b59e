package cacheproxy.lab.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How what one plane sends another travels: late, lost, or held by a cut, by where the two stand.
 * Used by one thread.
 */
final class LinkConditions {

    /**
     * In each third number; none ends in 0 or 255, which some machines take for a network's own and
     * give to nobody.
     */
    private static final int HOSTS_PER_SUBNET = 250;

    private record Cut(String from, String to) {}

    private final List<PlaneLocation> locations;
    private final ScaleExperiment.Links links;
    private final SplittableRandom random;
    private final List<Cut> cuts = new ArrayList<>();

    LinkConditions(
            List<PlaneLocation> locations, ScaleExperiment.Links links, SplittableRandom random) {
        this.locations = locations;
        this.links = links;
        this.random = random;
    }

    /** Which plane has an address: its last two numbers say so. */
    static int planeOf(InetSocketAddress address) {
        byte[] ip = address.getAddress().getAddress();
        return (ip[2] & 0xff) * HOSTS_PER_SUBNET + (ip[3] & 0xff) - 1;
    }

    /** The address of a plane in a network of a run's own, {@code 127.NET.x.y}. */
    static String hostOf(int network, int plane) {
        return "127."
                + network
                + "."
                + plane / HOSTS_PER_SUBNET
                + "."
                + (plane % HOSTS_PER_SUBNET + 1);
    }

    /** One-way delay between two planes, in ms. */
    double delayMs(int from, int to) {
        return links.delayMs().get(locations.get(from).distanceTo(locations.get(to)).ordinal());
    }

    /** Whether this packet is lost, by chance or by a cut. */
    boolean losesPacket(int from, int to) {
        double lossProbability =
                links.loss().get(locations.get(from).distanceTo(locations.get(to)).ordinal());
        return cut(from, to) || lossProbability > 0 && random.nextDouble() < lossProbability;
    }

    boolean cut(int from, int to) {
        return cuts.stream()
                .anyMatch(c -> locations.get(from).isIn(c.from) && locations.get(to).isIn(c.to));
    }

    void cut(String from, String to) {
        cuts.add(new Cut(from, to));
    }

    void heal(String from, String to) {
        cuts.remove(new Cut(from, to));
    }
}
