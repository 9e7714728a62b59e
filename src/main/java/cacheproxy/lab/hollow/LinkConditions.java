package cacheproxy.lab.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Link conditions between control planes: delay, packet loss and cuts, by the locations of sender
 * and receiver. A cut blocks the traffic from one area to another. Not thread safe.
 */
final class LinkConditions {

    /**
     * Addresses used per value of the third octet. The last octet is never 0 or 255, which some
     * systems treat as network and broadcast addresses.
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

    /** The number of the control plane with this address, derived from the last two octets. */
    static int planeOf(InetSocketAddress address) {
        byte[] ip = address.getAddress().getAddress();
        return (ip[2] & 0xff) * HOSTS_PER_SUBNET + (ip[3] & 0xff) - 1;
    }

    /** The address of a control plane in the network of a run, {@code 127.NETWORK.x.y}. */
    static String hostOf(int network, int plane) {
        return "127."
                + network
                + "."
                + plane / HOSTS_PER_SUBNET
                + "."
                + (plane % HOSTS_PER_SUBNET + 1);
    }

    /** One-way delay between two control planes, in ms. */
    double delayMs(int from, int to) {
        return links.delayMs().get(locations.get(from).distanceTo(locations.get(to)).ordinal());
    }

    /** Whether the next packet is lost, at random or due to a cut. */
    boolean losesPacket(int from, int to) {
        double lossProbability =
                links.loss().get(locations.get(from).distanceTo(locations.get(to)).ordinal());
        return cut(from, to) || lossProbability > 0 && random.nextDouble() < lossProbability;
    }

    /** Whether a cut blocks the traffic from one control plane to another. */
    boolean cut(int from, int to) {
        return cuts.stream()
                .anyMatch(c -> locations.get(from).isIn(c.from) && locations.get(to).isIn(c.to));
    }

    /** Blocks the traffic from one area to another; see {@link PlaneLocation#isIn}. */
    void cut(String from, String to) {
        cuts.add(new Cut(from, to));
    }

    /** Removes a cut between the same two areas. */
    void heal(String from, String to) {
        cuts.remove(new Cut(from, to));
    }
}
