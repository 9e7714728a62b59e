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
 * Carries the operators' calls to the module and the clients' side, and keeps what has to outlast
 * this process.
 */
final class Operations implements AdminOperations {

    /**
     * How often the other process's calls are looked for; a yes of its own holds here that much
     * later.
     */
    private static final long POLL_INTERVAL_MS = 100;

    /**
     * The drain's name as a state that is written; a cache node's is its id after {@link
     * #NODE_STATE}.
     */
    private static final String DRAIN_STATE = "drain";

    private static final String NODE_STATE_PREFIX = "cache node ";

    private final EventLoop loop;
    private final Proxy proxy;
    private final ClientServer clients;
    private final AdminServer server;

    /** Null where nothing outlasts this process; a test puts another in its place. */
    private MaintenanceFiles stateFiles;

    private final StateWriter writer;
    private final Set<String> nodesInMaintenance = new HashSet<>();
    private final Log log = new Log();
    private boolean acceptingCalls;
    private InetSocketAddress boundAddress;

    Operations(EventLoop loop, Proxy proxy, ClientServer clients, Path sharedDirectory) {
        this.loop = loop;
        this.proxy = proxy;
        this.clients = clients;
        this.server = new AdminServer(loop, this);
        this.stateFiles = sharedDirectory == null ? null : new MaintenanceFiles(sharedDirectory);
        this.writer = new StateWriter(loop);
    }

    /** For tests: what is kept from now on goes to these files. */
    void useFiles(MaintenanceFiles replacement) {
        loop.submit(() -> stateFiles = replacement).syncUninterruptibly();
    }

    /** Whether something that was taken on is not known to be on disk yet. */
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
     * The module has its first list: calls are taken from now on, and those that an earlier process
     * took hold.
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
            Log.error("shared_folder_missing", e);
        }
    }

    /**
     * What another process has kept holds here as well; a node that no list has named here yet is
     * taken out when one does. What this process still owes to the disk is left as it is: the disk
     * doesn't tell of it yet.
     */
    private void applyStoredState() {
        MaintenanceFiles.MaintenanceState stored;
        try {
            stored = stateFiles.read();
        } catch (IOException e) {
            log.warnLimited("shared_folder_unread", "cause", e);
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

    /** Whether operators hold a node out at this proxy. */
    boolean isInMaintenance(String node) {
        return nodesInMaintenance.contains(node);
    }

    private void applyDrain(boolean start) {
        Log.event(start ? "emptying" : "filling", "clients", clients.connections());
        clients.setOperatorDrain(start);
    }

    private void recordMaintenance(String node, boolean start) {
        if (start ? nodesInMaintenance.add(node) : nodesInMaintenance.remove(node)) {
            Log.event(
                    "maintenance",
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
                                ? "not ready: waiting for discovery, or ending"
                                : "starting");
    }

    /**
     * A yes is given once it is kept; where it can't be kept nothing changes and the answer is no.
     */
    @Override
    public void setMaintenance(String node, boolean start, Consumer<Reply> answer) {
        if (!acceptingCalls) {
            answer.accept(Reply.unavailable("starting"));
        } else if (node.equals(proxy.originId())) {
            answer.accept(Reply.notFound(node + " is the origin, no cache node"));
        } else if (!proxy.isKnownCacheNode(node)) {
            answer.accept(Reply.notFound("no list ever named a cache node " + node));
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
                                ? " is out: nothing new goes there until it is put back"
                                : " may serve again"));
    }

    /**
     * The next process would not know of it, and break a yes. What a failed write may have left is
     * taken back too, as a part of the failed call: it gives way to a later one. A superseded write
     * has left nothing.
     */
    private Reply rejectUnpersisted(String node, CallTime call, IOException failure) {
        if (failure instanceof SupersededException) {
            return Reply.unavailable("nothing changed: " + failure.getMessage());
        }
        Log.error("outage_not_kept", failure);
        if (!writer.isAnswerPending(NODE_STATE_PREFIX + node)) {
            StateWriter.StateChange revert =
                    stateChange(node, nodesInMaintenance.contains(node), call);
            writer.write(NODE_STATE_PREFIX + node, revert, ignored -> {});
        }
        return Reply.unavailable(
                "nothing changed: it could not be kept for the next process: "
                        + failure.getMessage());
    }

    /**
     * Always a yes: the days' page counts what is due from the call on, and knows no refusal of it.
     * It is done at once, and where it can't be kept for the next process it is written again until
     * it is, or until a later call at another process has been written.
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
                        ? "emptying: /up says no, each answer ends its connection"
                        : "serving: /up says yes";
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

    /** What an answer to a drain adds where its first write failed. */
    private static String failureNote(IOException failure) {
        if (failure == null) {
            return "";
        }
        if (failure instanceof SupersededException) {
            return "; " + failure.getMessage();
        }
        return "; not kept yet for the next process, and written again until it is: "
                + failure.getMessage();
    }
}
