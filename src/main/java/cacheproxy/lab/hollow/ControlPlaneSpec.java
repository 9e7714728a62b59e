package cacheproxy.lab.hollow;

import cacheproxy.config.Options;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Configuration of a {@link ControlPlaneProcess}, passed to it as a JSON file. The component names
 * are the keys of that file.
 *
 * @param net second octet of all addresses of the run, which separates concurrent runs
 * @param first number of the first control plane in this process
 * @param count number of control planes in this process
 * @param size number of proxies in the whole fleet; control planes with this number and above are
 *     control machines
 * @param folder directory of the run, with keys, key ring and logs
 * @param limitS time after which the process ends unconditionally, in seconds
 */
record ControlPlaneSpec(
        int net,
        int first,
        int count,
        int size,
        ScaleExperiment.Fleet fleet,
        ScaleExperiment.Gossip gossip,
        ScaleExperiment.Policy policy,
        ScaleExperiment.Links links,
        String folder,
        long seed,
        double limitS) {

    private static final int GOSSIP_PORT = 7946;
    private static final int POLICY_PORT = 7947;
    private static final int MAX_PROXY_SEEDS = 3;
    private static final int MAX_HEALTH_SCORE = 8;

    List<PlaneLocation> locations() {
        List<PlaneLocation> locations = new ArrayList<>();
        for (int i = 0; i < size + fleet.control(); i++) {
            locations.add(PlaneLocation.of(i, fleet, size));
        }
        return locations;
    }

    static Path keyFile(Path folder, String name) {
        return folder.resolve(name + ".key");
    }

    static Path ringFile(Path folder) {
        return folder.resolve("ring");
    }

    static Path socketFile(Path folder, int control) {
        return folder.resolve("c" + control + ".sock");
    }

    /** Directory where a control plane stores its epoch, and a control machine its log. */
    static Path storeDirectory(Path folder, String name) {
        return folder.resolve("policy-" + name);
    }

    /**
     * The options of a control plane, as an operator would write them. The control machines are the
     * gossip seeds and the voters; in a fleet without them the first proxies are the seeds.
     */
    Options options(int number) {
        Path directory = Path.of(folder);
        String name = PlaneLocation.of(number, fleet, size).name();
        String host = LinkConditions.hostOf(net, number);
        List<String> seeds = new ArrayList<>();
        List<String> voters = new ArrayList<>();
        for (int c = 0; c < fleet.control(); c++) {
            seeds.add(LinkConditions.hostOf(net, size + c) + ":" + GOSSIP_PORT);
            voters.add(
                    "control-"
                            + c
                            + "="
                            + LinkConditions.hostOf(net, size + c)
                            + ":"
                            + POLICY_PORT);
        }
        for (int p = 0; fleet.control() == 0 && p < Math.min(MAX_PROXY_SEEDS, size); p++) {
            seeds.add(LinkConditions.hostOf(net, p) + ":" + GOSSIP_PORT);
        }
        Options.Gossip gossipOptions =
                new Options.Gossip(
                        gossip.enabled(),
                        host + ":" + GOSSIP_PORT,
                        "",
                        seeds,
                        keyFile(directory, name).toString(),
                        ringFile(directory).toString(),
                        gossip.bytesPerS(),
                        gossip.verificationsPerS(),
                        "",
                        MAX_HEALTH_SCORE);
        Options.Policy policyOptions =
                new Options.Policy(
                        policy.enabled() ? voters : List.of(),
                        host + ":" + POLICY_PORT,
                        storeDirectory(directory, name).toString(),
                        number < size ? "" : socketFile(directory, number - size).toString());
        return new Options(
                Options.DEFAULTS.log(), gossipOptions, policyOptions, Options.DEFAULTS.nodes());
    }
}
