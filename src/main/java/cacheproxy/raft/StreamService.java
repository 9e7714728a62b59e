package cacheproxy.raft;

import cacheproxy.membership.Identity;
import cacheproxy.stream.Deliveries.Everywhere;
import cacheproxy.stream.Message;
import cacheproxy.stream.Window;
import cacheproxy.stream.wire.StreamServer;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A {@link ControlMachine} as a process has it: its file, the sealed links to the others, which are
 * the policy's, and the socket for those it serves. All of it runs on one loop, but for what the
 * file's syncs take.
 */
public final class StreamService implements ControlMachine.Out {

    private static final Logger LOG = LoggerFactory.getLogger(StreamService.class);
    private static final long TICK_MS = 50;
    private static final double NS_PER_MS = 1e6;

    /**
     * Who it is, the control machines' addresses for one another, where it listens for them, and
     * its folder.
     */
    public record Parts(
            Identity identity,
            Map<String, InetSocketAddress> controls,
            InetSocketAddress links,
            Path folder,
            Window.Bounds bounds,
            EventLoop loop,
            long seed,
            int snapshotEvery) {}

    private final Parts parts;
    private final StreamServer server;
    private final Links links;
    private final StorageRecovery storage;
    private LogFile file;
    private ControlMachine machine;
    private int lives;
    private final Consumer<Everywhere> everywhere;
    private ScheduledFuture<?> ticking;

    /**
     * Reads what it kept; throws where that is damaged, or its folder can't be written.
     *
     * @param everywhere told, where this one leads, of entries that have come to be everywhere
     */
    public StreamService(Parts parts, Consumer<Everywhere> everywhere) throws IOException {
        this(parts, everywhere, new DurableFiles());
    }

    /** As above, with the calls to the file system that the log is written by. */
    StreamService(Parts parts, Consumer<Everywhere> everywhere, DurableFiles files)
            throws IOException {
        this.parts = parts;
        this.everywhere = everywhere;
        links =
                new Links(
                        parts.loop(),
                        parts.identity(),
                        parts.controls(),
                        connection -> {},
                        this::received);
        storage = new StorageRecovery(parts.folder(), this::log);
        file = LogFile.open(parts.folder(), files);
        machine = newMachine();
        server = new StreamServer(parts.loop(), machine.publisher(), StreamService::now);
    }

    private ControlMachine newMachine() {
        return new ControlMachine(
                new ControlMachine.Parts(
                        parts.identity().name(),
                        List.copyOf(parts.controls().keySet()),
                        parts.bounds(),
                        new OnLoop(parts.loop()),
                        StreamService::now,
                        parts.seed() + lives++,
                        file,
                        file.restored(),
                        parts.snapshotEvery()),
                this);
    }

    private void log(String event, Object... fields) {
        LOG.warn("{} name={} {}", event, parts.identity().name(), Arrays.toString(fields));
    }

    private static double now() {
        return System.nanoTime() / NS_PER_MS;
    }

    /** Begins; the address is the one bound for those it serves, where port 0 was asked for. */
    public InetSocketAddress listen(InetSocketAddress at) throws IOException, InterruptedException {
        links.listen(parts.links());
        InetSocketAddress bound = server.listen(at);
        parts.loop()
                .submit(
                        () -> {
                            links.start();
                            machine.start();
                            ticking =
                                    parts.loop()
                                            .scheduleAtFixedRate(
                                                    this::tick,
                                                    TICK_MS,
                                                    TICK_MS,
                                                    TimeUnit.MILLISECONDS);
                        })
                .sync();
        return bound;
    }

    private void tick() {
        if (!storage.failed() && (file.failed() || machine.broken())) {
            storage.failed(
                    now(), file.failed() ? file.fault() : PolicyService.nodeEnded(parts.folder()));
            machine.stop();
            file.discard();
        }
        storage.tick(now(), this::takePartAgain);
        machine.tick(now());
    }

    /** Begins anew from what is on the disk; its readers connect again and go on. */
    private void takePartAgain() throws IOException {
        file = file.reopen();
        machine = newMachine();
        server.serve(machine.publisher());
        machine.start();
    }

    private void received(String from, JsonObject json) {
        machine.received(from, json);
    }

    /** What it does; on the loop. */
    public ControlMachine machine() {
        return machine;
    }

    @Override
    public void send(long connection, Message message) {
        server.send(connection, message);
    }

    @Override
    public void close(long connection, String why) {
        server.close(connection, why);
    }

    @Override
    public void tell(String control, JsonObject message) {
        if (!file.failed()) {
            links.ask(control, message);
        }
    }

    @Override
    public void everywhere(Everywhere entry) {
        everywhere.accept(entry);
    }

    /** Ends it; on the loop. */
    public void close() {
        ticking.cancel(false);
        server.close();
        links.close();
        machine.stop()
                .whenComplete(
                        (o, fault) -> {
                            try {
                                file.close();
                            } catch (IOException e) {
                                LOG.warn(
                                        "stream.disk name={} {}",
                                        parts.identity().name(),
                                        e.getMessage());
                            }
                        });
    }
}
