package hopglade.proxy;

import hopglade.admin.AdminServer;
import hopglade.admin.Desk;
import hopglade.store.OutageFiles;
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

/** Carries the operators' calls to the module and the clients' side, and keeps what has to outlast this process. */
final class Operations implements Desk {

    /** How often the other process's calls are looked for; a yes of its own holds here that much later. */
    private static final long LOOK_MS = 100;

    private final EventLoop loop;
    private final Proxy proxy;
    private final ClientServer clients;
    private final AdminServer server;
    /** Null where nothing outlasts this process. */
    private final OutageFiles files;
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
    }

    ChannelFuture listen(SocketAddress address) {
        return server.listen(address).addListener((ChannelFuture f) -> listening = (InetSocketAddress) f.channel().localAddress());
    }

    InetSocketAddress listening() {
        return listening;
    }

    /** The module has its first list: calls are taken from now on, and those that an earlier process took hold. */
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

    /** What another process has kept holds here as well; a node that no list has named here yet is taken out when one does. */
    private void look() {
        OutageFiles.Kept kept;
        try {
            kept = files.read();
        } catch (IOException e) {
            log.odd("shared_folder_unread", "cause", e);
            return;
        }
        for (String node : kept.out()) {
            if (!out.contains(node) && proxy.maintain(node, true)) {
                taken(node, true);
            }
        }
        if (kept.drained() != clients.isEmptied()) {
            drained(kept.drained());
        }
        List.copyOf(out).stream().filter(n -> !kept.out().contains(n)).forEach(n -> {
            proxy.maintain(n, false);
            taken(n, false);
        });
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
        return clients.isReady() ? Reply.yes(clients.isEmptied() ? "ready; drained by an operator" : "ready")
                : Reply.no(open ? "not ready: waiting for discovery, or ending" : "starting");
    }

    @Override
    public Reply maintain(String node, boolean begins) {
        if (!open) {
            return Reply.no("starting");
        } else if (node.equals(proxy.origin())) {
            return Reply.unknown(node + " is the origin, no cache node");
        }
        boolean was = out.contains(node);
        if (!proxy.maintain(node, begins)) {
            return Reply.unknown("no list ever named a cache node " + node);
        }
        try {
            keep(node, begins);
        } catch (IOException e) {
            // The next process would not know of it, and break a yes.
            Log.error("outage_not_kept", e);
            if (was != begins) {
                proxy.maintain(node, was);
            }
            return Reply.no("nothing changed: it could not be kept for the next process: " + e.getMessage());
        }
        taken(node, begins);
        return Reply.yes(node + (begins ? " is out: nothing new goes there until it is put back" : " may serve again"));
    }

    private void keep(String node, boolean begins) throws IOException {
        if (files != null && begins) {
            files.begin(node);
        } else if (files != null) {
            files.end(node);
        }
    }

    @Override
    public Reply drain(boolean begins) {
        if (!open) {
            return Reply.no("starting");
        }
        try {
            if (files != null) {
                files.drain(begins);
            }
        } catch (IOException e) {
            // This process can do without; the next one would serve, or stay empty, against this call.
            Log.error("drain_not_kept", e);
        }
        if (begins != clients.isEmptied()) {
            drained(begins);
        }
        return Reply.yes(begins ? "emptying: /up says no, each answer ends its connection" : "serving: /up says yes");
    }
}
