package cacheproxy.proxy;

import cacheproxy.admin.AdminOperations;
import cacheproxy.admin.AdminServer;
import cacheproxy.store.CallTime;
import cacheproxy.store.MaintenanceFiles;
import cacheproxy.store.SupersededException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Applies the operators' calls to the decision module and the client side, and persists the state
 * that has to survive this process.
 */
final class Operations implements AdminOperations {

    /**
     * Interval at which state written by the other process is read: a call accepted there takes
     * effect here that much later at most.
     */
    private static final long POLL_INTERVAL_MS = 100;

    /**
     * Name under which the drain state is written. The state of a cache node is named by {@link
     * #NODE_STATE} and the node's id.
     */
    private static final String DRAIN_STATE = "drain";

    private static final String NODE_STATE_PREFIX = "cache node ";

    private final EventLoop loop;
    private final Proxy proxy;
    private final ClientServer clients;
    private final AdminServer server;

    /** Null where no state survives this process; tests replace it. */
    private MaintenanceFiles stateFiles;

    private final StateWriter writer;

    /** The nodes in maintenance at this proxy. */
    private final Set<String> nodesInMaintenance = new HashSet<>();

    private final Log log = new Log();

    /** Whether the decision module has an endpoint list, so that calls are accepted. */
    private boolean acceptingCalls;

    /** The operators' address as bound; null before that. */
    private InetSocketAddress boundAddress;

    Operations(EventLoop loop, Proxy proxy, ClientServer clients, Path sharedDirectory) {
        this.loop = loop;
        this.proxy = proxy;
        this.clients = clients;
        this.server = new AdminServer(loop, this);
        this.stateFiles = sharedDirectory == null ? null : new MaintenanceFiles(sharedDirectory);
        this.writer = new StateWriter(loop);
    }

    /** For tests: state is written to {@code replacement} from now on. */
    void useFiles(MaintenanceFiles replacement) {
        loop.submit(() -> stateFiles = replacement).syncUninterruptibly();
    }

    /** Whether an accepted change is not known to be on disk yet. */
    boolean hasPendingWrites() {
        return writer.hasPending();
    }

    ChannelFuture listen(SocketAddress address) {
        return server.listen(address)
                .addListener(
                        (ChannelFuture bound) ->
                                boundAddress = (InetSocketAddress) bound.channel().localAddress());
    }

    InetSocketAddress boundAddress() {
        return boundAddress;
    }

    /**
     * Accepts calls from now on, and applies the state that an earlier process has written. Called
     * once the decision module has its first endpoint list.
     */
    void acceptCalls() {
        acceptingCalls = true;
        if (stateFiles != null) {
            proxy.setEndpointListListener(this::applyStoredState);
            createDirectory();
            loop.scheduleAtFixedRate(
                    this::applyStoredState,
                    POLL_INTERVAL_MS,
                    POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            applyStoredState();
        }
    }

    private void createDirectory() {
        try {
            stateFiles.create();
        } catch (IOException e) {
            Log.error("shared_directory_missing", e);
        }
    }

    /**
     * Applies the state that another process has written. A node that no endpoint list has
     * contained here so far enters maintenance once one does. State that this process has not
     * written to disk yet is left unchanged, as the disk does not have it yet.
     */
    private void applyStoredState() {
        MaintenanceFiles.MaintenanceState stored;
        try {
            stored = stateFiles.read();
        } catch (IOException e) {
            log.warnLimited("shared_directory_unreadable", "cause", e);
            return;
        }
        for (String node : stored.nodes()) {
            if (!nodesInMaintenance.contains(node)
                    && !isWritePending(node)
                    && proxy.setMaintenance(node, true)) {
                recordMaintenance(node, true);
            }
        }
        if (stored.drained() != clients.isDrainedByOperator() && !writer.isPending(DRAIN_STATE)) {
            applyDrain(stored.drained());
        }
        List.copyOf(nodesInMaintenance).stream()
                .filter(node -> !stored.nodes().contains(node) && !isWritePending(node))
                .forEach(
                        node -> {
                            proxy.setMaintenance(node, false);
                            recordMaintenance(node, false);
                        });
    }

    private boolean isWritePending(String node) {
        return writer.isPending(NODE_STATE_PREFIX + node);
    }

    /** Whether operators have put {@code node} into maintenance at this proxy. */
    boolean isInMaintenance(String node) {
        return nodesInMaintenance.contains(node);
    }

    private void applyDrain(boolean start) {
        Log.event(start ? "drain_started" : "drain_ended", "clients", clients.connections());
        clients.setOperatorDrain(start);
    }

    private void recordMaintenance(String node, boolean start) {
        if (start ? nodesInMaintenance.add(node) : nodesInMaintenance.remove(node)) {
            Log.event(
                    "maintenance_changed",
                    "node",
                    node,
                    "out",
                    start,
                    "all_out",
                    nodesInMaintenance.size());
        }
    }

    @Override
    public Reply health() {
        return clients.isReady()
                ? Reply.ok(
                        clients.isDrainedByOperator() ? "ready; drained by an operator" : "ready")
                : Reply.unavailable(
                        acceptingCalls
                                ? "not ready: waiting for discovery or shutting down"
                                : "starting");
    }

    /**
     * Confirms the call once its state is persisted. If it cannot be persisted, nothing changes and
     * the reply is 503.
     */
    @Override
    public void setMaintenance(String node, boolean start, Consumer<Reply> answer) {
        if (!acceptingCalls) {
            answer.accept(Reply.unavailable("starting"));
        } else if (node.equals(proxy.originId())) {
            answer.accept(Reply.notFound(node + " is the origin, not a cache node"));
        } else if (!proxy.isKnownCacheNode(node)) {
            answer.accept(Reply.notFound("no endpoint list has contained a cache node " + node));
        } else {
            CallTime call = CallTime.now();
            persist(
                    node,
                    start,
                    call,
                    failure -> {
                        answer.accept(
                                failure == null
                                        ? applyMaintenance(node, start)
                                        : rejectUnpersisted(node, call, failure));
                    });
        }
    }

    private void persist(String node, boolean start, CallTime call, Consumer<IOException> answer) {
        if (stateFiles == null) {
            answer.accept(null);
        } else {
            writer.write(NODE_STATE_PREFIX + node, stateChange(node, start, call), answer);
        }
    }

    private StateWriter.StateChange stateChange(String node, boolean start, CallTime call) {
        MaintenanceFiles target = stateFiles;
        return start
                ? () -> target.startMaintenance(node, call)
                : () -> target.endMaintenance(node, call);
    }

    private Reply applyMaintenance(String node, boolean start) {
        proxy.setMaintenance(node, start);
        recordMaintenance(node, start);
        return Reply.ok(
                node
                        + (start
                                ? " is in maintenance: no new requests go there until it ends"
                                : " is out of maintenance and may receive requests"));
    }

    /**
     * Rejects the call, as the next process would not know of a change that it confirmed. What the
     * failed write may have left on disk is reverted too; the revert carries the time of the failed
     * call, so that a later call supersedes it. A superseded write has left nothing on disk.
     */
    private Reply rejectUnpersisted(String node, CallTime call, IOException failure) {
        if (failure instanceof SupersededException) {
            return Reply.unavailable("nothing changed: " + failure.getMessage());
        }
        Log.error("maintenance_write_failed", failure);
        if (!writer.isAnswerPending(NODE_STATE_PREFIX + node)) {
            StateWriter.StateChange revert =
                    stateChange(node, nodesInMaintenance.contains(node), call);
            writer.write(NODE_STATE_PREFIX + node, revert, ignored -> {});
        }
        return Reply.unavailable(
                "nothing changed: the state could not be persisted for the next process: "
                        + failure.getMessage());
    }

    /**
     * Always confirms the call, because the service terms count obligations from the call on and
     * define no rejection of it. The drain takes effect at once. If its state cannot be persisted
     * for the next process, the write is retried until it succeeds, or until a later call at
     * another process has been written.
     */
    @Override
    public void setDraining(boolean start, Consumer<Reply> answer) {
        if (!acceptingCalls) {
            answer.accept(Reply.unavailable("starting"));
            return;
        }
        if (start != clients.isDrainedByOperator()) {
            applyDrain(start);
        }
        String confirmation =
                start
                        ? "draining: /up answers 503, each response closes its connection"
                        : "serving: /up answers 200 once the proxy is ready";
        if (stateFiles == null) {
            answer.accept(Reply.ok(confirmation));
            return;
        }
        MaintenanceFiles target = stateFiles;
        CallTime call = CallTime.now();
        writer.write(
                DRAIN_STATE,
                () -> target.setDraining(start, call),
                failure -> answer.accept(Reply.ok(confirmation + failureNote(failure))));
    }

    /** Returns what the reply to a drain call adds if its first write failed. */
    private static String failureNote(IOException failure) {
        if (failure == null) {
            return "";
        }
        if (failure instanceof SupersededException) {
            return "; " + failure.getMessage();
        }
        return "; not yet persisted for the next process, retrying until it is: "
                + failure.getMessage();
    }
}
