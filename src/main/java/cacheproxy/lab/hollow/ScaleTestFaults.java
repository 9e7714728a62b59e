package cacheproxy.lab.hollow;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** The faults of a run as a list of actions ordered by time. */
final class ScaleTestFaults {

    private interface FaultAction {
        void run() throws IOException, InterruptedException;
    }

    private record ScheduledAction(double atS, FaultAction action) {}

    private final List<ScheduledAction> scheduled = new ArrayList<>();
    private final List<ControlPlaneWorker> workers;
    private final SplittableRandom random;

    ScaleTestFaults(
            ScaleExperiment experiment,
            int size,
            List<ControlPlaneWorker> workers,
            List<ControlPlaneWorker> controlWorkers) {
        this.workers = workers;
        this.random = new SplittableRandom(experiment.seed());
        for (ScaleExperiment.Fault fault : experiment.faults()) {
            switch (fault.kind()) {
                case CONTROL_KILL -> {
                    ControlPlaneWorker killed = controlWorkers.get(fault.control());
                    scheduled.add(new ScheduledAction(fault.atS(), killed::kill));
                    scheduled.add(
                            new ScheduledAction(
                                    fault.atS() + fault.durationS(),
                                    () -> {
                                        killed.start();
                                        killed.awaitReady();
                                        killed.send("go");
                                    }));
                }
                case PROXY_REPLACE -> {
                    for (int i = 0; i < fault.count(); i++) {
                        scheduled.add(
                                new ScheduledAction(
                                        fault.atS() + fault.durationS() * i / fault.count(),
                                        () -> replace(random.nextInt(size))));
                    }
                }
                case CUT -> {
                    scheduled.add(new ScheduledAction(fault.atS(), () -> sendToAll("cut", fault)));
                    scheduled.add(
                            new ScheduledAction(
                                    fault.atS() + fault.durationS(),
                                    () -> sendToAll("heal", fault)));
                }
            }
        }
        scheduled.sort(Comparator.comparingDouble(ScheduledAction::atS));
    }

    private void replace(int proxy) throws IOException {
        for (ControlPlaneWorker worker : workers) {
            if (proxy >= worker.spec.first() && proxy < worker.spec.first() + worker.spec.count()) {
                worker.send("replace " + proxy);
            }
        }
    }

    private void sendToAll(String command, ScaleExperiment.Fault fault) throws IOException {
        for (ControlPlaneWorker worker : workers) {
            if (worker.isRunning()) {
                worker.send(command + " " + fault.from() + " " + fault.to());
                if (fault.both()) {
                    worker.send(command + " " + fault.to() + " " + fault.from());
                }
            }
        }
    }

    /** Runs the actions that are due at this time, in seconds since the measurement began. */
    void runDue(double atS) throws IOException, InterruptedException {
        while (!scheduled.isEmpty() && scheduled.get(0).atS() <= atS) {
            scheduled.remove(0).action().run();
        }
    }
}
