package cacheproxy.lab.hollow;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** A run's faults as steps in time; each is taken once its time has come. */
final class Faults {

    private interface Step {
        void take() throws IOException, InterruptedException;
    }

    private record Planned(double atS, Step step) {}

    private final List<Planned> planned = new ArrayList<>();
    private final List<Child> children;
    private final SplittableRandom random;

    Faults(HollowExperiment experiment, int size, List<Child> children, List<Child> controls) {
        this.children = children;
        this.random = new SplittableRandom(experiment.seed());
        for (HollowExperiment.Fault f : experiment.faults()) {
            switch (f.what()) {
                case CONTROL_KILL -> {
                    Child struck = controls.get(f.control());
                    planned.add(new Planned(f.atS(), struck::kill));
                    planned.add(
                            new Planned(
                                    f.atS() + f.forS(),
                                    () -> {
                                        struck.start();
                                        struck.awaitReady();
                                        struck.ask("go");
                                    }));
                }
                case PROXY_REPLACE -> {
                    for (int i = 0; i < f.count(); i++) {
                        planned.add(
                                new Planned(
                                        f.atS() + f.forS() * i / f.count(),
                                        () -> replace(random.nextInt(size))));
                    }
                }
                case CUT -> {
                    planned.add(new Planned(f.atS(), () -> all("cut", f)));
                    planned.add(new Planned(f.atS() + f.forS(), () -> all("heal", f)));
                }
            }
        }
        planned.sort(Comparator.comparingDouble(Planned::atS));
    }

    private void replace(int proxy) throws IOException {
        for (Child c : children) {
            if (proxy >= c.planes.first() && proxy < c.planes.first() + c.planes.count()) {
                c.ask("replace " + proxy);
            }
        }
    }

    private void all(String word, HollowExperiment.Fault f) throws IOException {
        for (Child c : children) {
            if (c.runs()) {
                c.ask(word + " " + f.from() + " " + f.to());
                if (f.both()) {
                    c.ask(word + " " + f.to() + " " + f.from());
                }
            }
        }
    }

    /** Takes what was planned until then. */
    void until(double atS) throws IOException, InterruptedException {
        while (!planned.isEmpty() && planned.get(0).atS() <= atS) {
            planned.remove(0).step().take();
        }
    }
}
