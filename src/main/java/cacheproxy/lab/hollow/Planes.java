package cacheproxy.lab.hollow;

import cacheproxy.config.Options;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What a process of planes is started with, as JSON.
 *
 * @param net the second number of all addresses, the run's own
 * @param first the number of its first plane
 * @param count planes that it holds
 * @param size proxies in the whole fleet; planes numbered from there on are control machines
 * @param folder of the run: keys, the ring, logs
 * @param limitS after which the process ends whatever happens
 */
record Planes(
        int net,
        int first,
        int count,
        int size,
        HollowExperiment.Fleet fleet,
        HollowExperiment.Gossip gossip,
        HollowExperiment.Policy policy,
        HollowExperiment.Links links,
        String folder,
        long seed,
        double limitS) {

    private static final int GOSSIP_PORT = 7946;
    private static final int POLICY_PORT = 7947;
    private static final int SEEDS = 3;
    private static final int HEALTH_MOST = 8;

    List<Place> places() {
        List<Place> places = new ArrayList<>();
        for (int i = 0; i < size + fleet.control(); i++) {
            places.add(Place.of(i, fleet, size));
        }
        return places;
    }

    static Path keyFile(Path folder, String name) {
        return folder.resolve(name + ".key");
    }

    static Path ringFile(Path folder) {
        return folder.resolve("ring");
    }

    static Path socket(Path folder, int control) {
        return folder.resolve("c" + control + ".sock");
    }

    /** Where a plane keeps its epoch, and a control machine its log. */
    static Path store(Path folder, String name) {
        return folder.resolve("policy-" + name);
    }

    /**
     * A plane's options, as an operator would write them; control machines are the seeds and the
     * voters, proxies the seeds where there are none.
     */
    Options options(int number) {
        Path at = Path.of(folder);
        String name = Place.of(number, fleet, size).name();
        String host = LinkTable.host(net, number);
        List<String> seeds = new ArrayList<>();
        List<String> voters = new ArrayList<>();
        for (int c = 0; c < fleet.control(); c++) {
            seeds.add(LinkTable.host(net, size + c) + ":" + GOSSIP_PORT);
            voters.add("control-" + c + "=" + LinkTable.host(net, size + c) + ":" + POLICY_PORT);
        }
        for (int p = 0; fleet.control() == 0 && p < Math.min(SEEDS, size); p++) {
            seeds.add(LinkTable.host(net, p) + ":" + GOSSIP_PORT);
        }
        Options.Gossip talk =
                new Options.Gossip(
                        gossip.enabled(),
                        host + ":" + GOSSIP_PORT,
                        "",
                        seeds,
                        keyFile(at, name).toString(),
                        ringFile(at).toString(),
                        gossip.bytesPerS(),
                        gossip.verificationsPerS(),
                        "",
                        HEALTH_MOST);
        Options.Policy change =
                new Options.Policy(
                        policy.enabled() ? voters : List.of(),
                        host + ":" + POLICY_PORT,
                        store(at, name).toString(),
                        number < size ? "" : socket(at, number - size).toString());
        return new Options(Options.DEFAULTS.log(), talk, change, Options.DEFAULTS.nodes());
    }
}
