package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.stream.Deliveries.Everywhere;
import cacheproxy.stream.Message;
import cacheproxy.stream.Window;
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

/** A control machine that leads alone, its tasks run by hand. */
class ControlMachineTest {

    private record Later(double at, long order, Runnable task) {}

    private double now = 1000;
    private long order;
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final PriorityQueue<Later> later =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() == b.at()
                                    ? Long.compare(a.order(), b.order())
                                    : Double.compare(a.at(), b.at()));
    private final List<JsonObject> told = new ArrayList<>();

    private final class ByHand implements RaftNodeExecutor {
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
            later.add(new Later(now + unit.toMicros(delay) / 1000.0, order++, task));
        }
    }

    private final class Out implements ControlMachine.Out {
        @Override
        public void tell(String control, JsonObject message) {
            told.add(message);
        }

        @Override
        public void everywhere(Everywhere entry) {}

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
                            new Window.Bounds(100, 10_000),
                            new ByHand(),
                            () -> now,
                            7,
                            new NopRaftStore(),
                            null,
                            1000),
                    new Out());

    private void run() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }

    private void pass(double ms) {
        for (double end = now + ms; now < end; now += 10) {
            while (!later.isEmpty() && later.peek().at() <= now) {
                later.remove().task().run();
            }
            run();
            machine.tick(now);
            run();
        }
    }

    private static JsonObject howFar(double stamp) {
        JsonObject o = new JsonObject();
        o.addProperty("t", "how-far");
        o.addProperty("stamp", stamp);
        return o;
    }

    /** Each question comes between the leader's own one to the majority and its answer. */
    @Test
    void whoAsksInStepWithTheLeadersOwnQuestionIsAnswered() {
        machine.start();
        pass(5000);
        assertTrue(machine.leads() && machine.lineage() != 0);
        told.clear();
        for (int i = 0; i < 10; i++) {
            now += 200;
            machine.tick(now);
            now += 10;
            machine.received("b", howFar(i));
            run();
        }
        assertEquals(
                List.of(0.0, 2.0, 4.0, 6.0, 8.0),
                told.stream().map(o -> o.get("stamp").getAsDouble()).toList(),
                "by the next answer; what came while one waited is passed over");
    }
}
