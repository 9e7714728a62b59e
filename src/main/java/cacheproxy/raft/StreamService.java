package cacheproxy.raft;

import cacheproxy.membership.Identity;
import cacheproxy.stream.Acknowledgements.FullyAcknowledged;
import cacheproxy.stream.Message;
import cacheproxy.stream.RetainedLog;
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
 * Runs a {@link ControlMachine} in a process, with its log file, the authenticated connections to
 * the other control machines (of the same kind as those of the policy), and the server for its
 * subscribers. Everything runs on one event loop, which file syncs block while they last.
 */
public final class StreamService implements ControlMachine.Out {

    private static final Logger LOG = LoggerFactory.getLogger(StreamService.class);
    private static final long TICK_MS = 50;
    private static final double NS_PER_MS = 1e6;

    /**
     * What a control machine's service is made of.
     *
     * @param identity the name and keys of this control machine
     * @param controls the addresses at which the control machines accept connections of each other
     * @param peerListenAddress where this one accepts connections of the other control machines
     * @param folder the storage folder
     * @param snapshotEvery the number of entries between snapshots
     */
    public record Parts(
            Identity identity,
            Map<String, InetSocketAddress> controls,
            InetSocketAddress peerListenAddress,
            Path folder,
            RetainedLog.Bounds bounds,
            EventLoop loop,
            long seed,
            int snapshotEvery) {}

    private final Parts parts;
    private final StreamServer server;
    private final PeerConnections peerConnections;
    private final StorageRecovery storageRecovery;
    private LogFile file;
    private ControlMachine machine;
    private int incarnation;
    private final Consumer<FullyAcknowledged> onFullyAcknowledged;
    private ScheduledFuture<?> tickTask;

    /**
     * Restores the stored state; throws if that is damaged or the folder can't be written.
     *
     * @param onFullyAcknowledged called on the leader when all present subscribers have
     *     acknowledged an entry
     */
    public StreamService(Parts parts, Consumer<FullyAcknowledged> onFullyAcknowledged)
            throws IOException {
        this(parts, onFullyAcknowledged, new DurableFiles());
    }

    /** As above, with the file system calls that the log is written with. */
    StreamService(Parts parts, Consumer<FullyAcknowledged> onFullyAcknowledged, DurableFiles files)
            throws IOException {
        this.parts = parts;
        this.onFullyAcknowledged = onFullyAcknowledged;
        peerConnections =
                new PeerConnections(
                        parts.loop(),
                        parts.identity(),
                        parts.controls(),
                        connection -> {},
                        this::received);
        storageRecovery = new StorageRecovery(parts.folder(), this::logWarning);
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
                        new EventLoopExecutor(parts.loop()),
                        StreamService::now,
                        parts.seed() + incarnation++,
                        file,
                        file.restored(),
                        parts.snapshotEvery()),
                this);
    }

    private void logWarning(String event, Object... fields) {
        LOG.warn("{} name={} {}", event, parts.identity().name(), Arrays.toString(fields));
    }

    private static double now() {
        return System.nanoTime() / NS_PER_MS;
    }

    /**
     * Starts the service and listens for subscribers.
     *
     * @param address where to listen; with port 0 the system selects one
     * @return the address that was bound
     */
    public InetSocketAddress listen(InetSocketAddress address)
            throws IOException, InterruptedException {
        peerConnections.listen(parts.peerListenAddress());
        InetSocketAddress bound = server.listen(address);
        parts.loop()
                .submit(
                        () -> {
                            peerConnections.start();
                            machine.start();
                            tickTask =
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
        if (!storageRecovery.failed() && (file.failed() || machine.isTerminated())) {
            storageRecovery.failed(
                    now(),
                    file.failed() ? file.fault() : PolicyService.nodeTerminated(parts.folder()));
            machine.stop();
            file.closeQuietly();
        }
        storageRecovery.tick(now(), this::rejoin);
        machine.tick(now());
    }

    /**
     * Restarts the control machine with the state on the disk; its subscribers reconnect and
     * continue after their last entry.
     */
    private void rejoin() throws IOException {
        file = file.reopen();
        machine = newMachine();
        server.replacePublisher(machine.publisher());
        machine.start();
    }

    private void received(String from, JsonObject json) {
        machine.received(from, json);
    }

    /** Returns the current control machine, which a recovery replaces. Called on the event loop. */
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
    public void sendToControl(String control, JsonObject message) {
        if (!file.failed()) {
            peerConnections.sendToVoter(control, message);
        }
    }

    @Override
    public void fullyAcknowledged(FullyAcknowledged entry) {
        onFullyAcknowledged.accept(entry);
    }

    /** Closes all connections, stops the machine and then closes its file. Called on the loop. */
    public void close() {
        tickTask.cancel(false);
        server.close();
        peerConnections.close();
        machine.stop()
                .whenComplete(
                        (o, fault) -> {
                            try {
                                file.close();
                            } catch (IOException e) {
                                LOG.warn(
                                        "stream_log_close_failed name={} cause={}",
                                        parts.identity().name(),
                                        e.getMessage());
                            }
                        });
    }
}
