package cacheproxy.lab.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * How what one plane sends another travels: late, lost, or held by a cut, by where the two stand.
 * Used by one thread.
 */
final class LinkTable {

    /**
     * In each third number; none ends in 0 or 255, which some machines take for a network's own and
     * give to nobody.
     */
    private static final int HOSTS = 250;

    private record Cut(String from, String to) {}

    private final List<Place> places;
    private final HollowExperiment.Links links;
    private final SplittableRandom random;
    private final List<Cut> cuts = new ArrayList<>();

    LinkTable(List<Place> places, HollowExperiment.Links links, SplittableRandom random) {
        this.places = places;
        this.links = links;
        this.random = random;
    }

    /** Which plane has an address: its last two numbers say so. */
    static int plane(InetSocketAddress address) {
        byte[] ip = address.getAddress().getAddress();
        return (ip[2] & 0xff) * HOSTS + (ip[3] & 0xff) - 1;
    }

    /** The address of a plane in a network of a run's own, {@code 127.NET.x.y}. */
    static String host(int net, int plane) {
        return "127." + net + "." + plane / HOSTS + "." + (plane % HOSTS + 1);
    }

    /** One-way delay between two planes, in ms. */
    double delayMs(int from, int to) {
        return links.delayMs().get(places.get(from).to(places.get(to)).ordinal());
    }

    /** Whether this packet is lost, by chance or by a cut. */
    boolean loses(int from, int to) {
        double share = links.loss().get(places.get(from).to(places.get(to)).ordinal());
        return cut(from, to) || share > 0 && random.nextDouble() < share;
    }

    boolean cut(int from, int to) {
        return cuts.stream().anyMatch(c -> places.get(from).in(c.from) && places.get(to).in(c.to));
    }

    void cut(String from, String to) {
        cuts.add(new Cut(from, to));
    }

    void heal(String from, String to) {
        cuts.remove(new Cut(from, to));
    }
}
