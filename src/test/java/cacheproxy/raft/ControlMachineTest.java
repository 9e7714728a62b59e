package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.stream.Acknowledgements.FullyAcknowledged;
import cacheproxy.stream.Message;
import cacheproxy.stream.RetainedLog;
import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.persistence.NopRaftStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests a control machine that leads a group of one; the test runs its tasks explicitly. */
class ControlMachineTest {

    private record ScheduledTask(double at, long order, Runnable task) {}

    private double now = 1000;
    private long order;
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() == b.at()
                                    ? Long.compare(a.order(), b.order())
                                    : Double.compare(a.at(), b.at()));
    private final List<JsonObject> sentMessages = new ArrayList<>();

    private final class ManualExecutor implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public void submit(Runnable task) {
            tasks.add(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            scheduledTasks.add(
                    new ScheduledTask(now + unit.toMicros(delay) / 1000.0, order++, task));
        }
    }

    private final class Out implements ControlMachine.Out {
        @Override
        public void sendToControl(String control, JsonObject message) {
            sentMessages.add(message);
        }

        @Override
        public void fullyAcknowledged(FullyAcknowledged entry) {}

        @Override
        public void send(long connection, Message message) {}

        @Override
        public void close(long connection, String why) {}
    }

    private final ControlMachine machine =
            new ControlMachine(
                    new ControlMachine.Parts(
                            "a",
                            List.of("a"),
                            new RetainedLog.Bounds(100, 10_000),
                            new ManualExecutor(),
                            () -> now,
                            7,
                            new NopRaftStore(),
                            null,
                            1000),
                    new Out());

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    private void advance(double ms) {
        for (double end = now + ms; now < end; now += 10) {
            while (!scheduledTasks.isEmpty() && scheduledTasks.peek().at() <= now) {
                scheduledTasks.remove().task().run();
            }
            runTasks();
            machine.tick(now);
            runTasks();
        }
    }

    private static JsonObject headQuery(double stamp) {
        JsonObject json = new JsonObject();
        json.addProperty("t", "how-far");
        json.addProperty("stamp", stamp);
        return json;
    }

    /**
     * Guards against a machine that never gets an answer: each of its queries arrives between the
     * leader's query to the majority and the confirmation, so it would be replaced by the next one
     * each time if the leader kept the last query instead of the first.
     */
    @Test
    void answersQueriesSentInStepWithLeadershipQuery() {
        machine.start();
        advance(5000);
        assertTrue(machine.isLeader() && machine.lineage() != 0);
        sentMessages.clear();
        for (int i = 0; i < 10; i++) {
            now += 200;
            machine.tick(now);
            now += 10;
            machine.received("b", headQuery(i));
            runTasks();
        }
        assertEquals(
                List.of(0.0, 2.0, 4.0, 6.0, 8.0),
                sentMessages.stream().map(o -> o.get("stamp").getAsDouble()).toList(),
                "each pending query is answered; those that arrive meanwhile are ignored");
    }
}
