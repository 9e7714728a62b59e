package cacheproxy.proxy;

import cacheproxy.admin.AdminServer;
import cacheproxy.admin.Desk;
import cacheproxy.store.CallTime;
import cacheproxy.store.OutageFiles;
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
final class Operations implements Desk {

    /**
     * How often the other process's calls are looked for; a yes of its own holds here that much
     * later.
     */
    private static final long LOOK_MS = 100;

    /**
     * The drain's name as a state that is written; a cache node's is its id after {@link
     * #NODE_STATE}.
     */
    private static final String DRAIN_STATE = "drain";

    private static final String NODE_STATE = "cache node ";

    private final EventLoop loop;
    private final Proxy proxy;
    private final ClientServer clients;
    private final AdminServer server;

    /** Null where nothing outlasts this process; a test puts another in its place. */
    private OutageFiles files;

    private final StateWriter writer;
    private final Set<String> out = new HashSet<>();
    private final Log log = new Log();
    private boolean open;
    private InetSocketAddress listening;

    Operations(EventLoop loop, Proxy proxy, ClientServer clients, Path shared) {
        this.loop = loop;
        this.proxy = proxy;
        this.clients = clients;
        this.server = new AdminServer(loop, this);
        this.files = shared == null ? null : new OutageFiles(shared);
        this.writer = new StateWriter(loop);
    }

    /** For tests: what is kept from now on goes to these files. */
    void keepIn(OutageFiles others) {
        loop.submit(() -> files = others).syncUninterruptibly();
    }

    /** Whether something that was taken on is not known to be on disk yet. */
    boolean isAnyOwed() {
        return writer.isAnyOwed();
    }

    ChannelFuture listen(SocketAddress address) {
        return server.listen(address)
                .addListener(
                        (ChannelFuture f) ->
                                listening = (InetSocketAddress) f.channel().localAddress());
    }

    InetSocketAddress listening() {
        return listening;
    }

    /**
     * The module has its first list: calls are taken from now on, and those that an earlier process
     * took hold.
     */
    void open() {
        open = true;
        if (files != null) {
            proxy.onList(this::look);
            begun();
            loop.scheduleAtFixedRate(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
            look();
        }
    }

    private void begun() {
        try {
            files.create();
        } catch (IOException e) {
            Log.error("shared_folder_missing", e);
        }
    }

    /**
     * What another process has kept holds here as well; a node that no list has named here yet is
     * taken out when one does. What this process still owes to the disk is left as it is: the disk
     * doesn't tell of it yet.
     */
    private void look() {
        OutageFiles.Kept kept;
        try {
            kept = files.read();
        } catch (IOException e) {
            log.odd("shared_folder_unread", "cause", e);
            return;
        }
        for (String node : kept.out()) {
            if (!out.contains(node) && !isOwed(node) && proxy.maintain(node, true)) {
                taken(node, true);
            }
        }
        if (kept.drained() != clients.isEmptied() && !writer.isOwed(DRAIN_STATE)) {
            drained(kept.drained());
        }
        List.copyOf(out).stream()
                .filter(n -> !kept.out().contains(n) && !isOwed(n))
                .forEach(
                        n -> {
                            proxy.maintain(n, false);
                            taken(n, false);
                        });
    }

    private boolean isOwed(String node) {
        return writer.isOwed(NODE_STATE + node);
    }

    /** Whether operators hold a node out at this proxy. */
    boolean isOut(String node) {
        return out.contains(node);
    }

    private void drained(boolean begins) {
        Log.event(begins ? "emptying" : "filling", "clients", clients.connections());
        clients.empty(begins);
    }

    private void taken(String node, boolean begins) {
        if (begins ? out.add(node) : out.remove(node)) {
            Log.event("maintenance", "node", node, "out", begins, "all_out", out.size());
        }
    }

    @Override
    public Reply health() {
        return clients.isReady()
                ? Reply.yes(clients.isEmptied() ? "ready; drained by an operator" : "ready")
                : Reply.no(open ? "not ready: waiting for discovery, or ending" : "starting");
    }

    /**
     * A yes is given once it is kept; where it can't be kept nothing changes and the answer is no.
     */
    @Override
    public void maintain(String node, boolean begins, Consumer<Reply> answer) {
        if (!open) {
            answer.accept(Reply.no("starting"));
        } else if (node.equals(proxy.origin())) {
            answer.accept(Reply.unknown(node + " is the origin, no cache node"));
        } else if (!proxy.knows(node)) {
            answer.accept(Reply.unknown("no list ever named a cache node " + node));
        } else {
            CallTime call = CallTime.now();
            keep(
                    node,
                    begins,
                    call,
                    failure -> {
                        answer.accept(
                                failure == null
                                        ? kept(node, begins)
                                        : notKept(node, call, failure));
                    });
        }
    }

    private void keep(String node, boolean begins, CallTime call, Consumer<IOException> answer) {
        if (files == null) {
            answer.accept(null);
        } else {
            writer.write(NODE_STATE + node, change(node, begins, call), answer);
        }
    }

    private StateWriter.Change change(String node, boolean begins, CallTime call) {
        OutageFiles kept = files;
        return begins ? () -> kept.begin(node, call) : () -> kept.end(node, call);
    }

    private Reply kept(String node, boolean begins) {
        proxy.maintain(node, begins);
        taken(node, begins);
        return Reply.yes(
                node
                        + (begins
                                ? " is out: nothing new goes there until it is put back"
                                : " may serve again"));
    }

    /**
     * The next process would not know of it, and break a yes. What a failed write may have left is
     * taken back too, as a part of the failed call: it gives way to a later one. A superseded write
     * has left nothing.
     */
    private Reply notKept(String node, CallTime call, IOException failure) {
        if (failure instanceof SupersededException) {
            return Reply.no("nothing changed: " + failure.getMessage());
        }
        Log.error("outage_not_kept", failure);
        if (!writer.isAnswerDue(NODE_STATE + node)) {
            StateWriter.Change takingBack = change(node, out.contains(node), call);
            writer.write(NODE_STATE + node, takingBack, ignored -> {});
        }
        return Reply.no(
                "nothing changed: it could not be kept for the next process: "
                        + failure.getMessage());
    }

    /**
     * Always a yes: the days' page counts what is due from the call on, and knows no refusal of it.
     * It is done at once, and where it can't be kept for the next process it is written again until
     * it is, or until a later call at another process has been written.
     */
    @Override
    public void drain(boolean begins, Consumer<Reply> answer) {
        if (!open) {
            answer.accept(Reply.no("starting"));
            return;
        }
        if (begins != clients.isEmptied()) {
            drained(begins);
        }
        String done =
                begins
                        ? "emptying: /up says no, each answer ends its connection"
                        : "serving: /up says yes";
        if (files == null) {
            answer.accept(Reply.yes(done));
            return;
        }
        OutageFiles kept = files;
        CallTime call = CallTime.now();
        writer.write(
                DRAIN_STATE,
                () -> kept.drain(begins, call),
                failure -> answer.accept(Reply.yes(done + shortfall(failure))));
    }

    /** What an answer to a drain adds where its first write failed. */
    private static String shortfall(IOException failure) {
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
