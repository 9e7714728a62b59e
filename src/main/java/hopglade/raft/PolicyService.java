package hopglade.raft;

import com.google.gson.JsonObject;
import hopglade.config.BadFileException;
import hopglade.config.Options;
import hopglade.config.OptionsFile;
import hopglade.epoch.Epochs;
import hopglade.epoch.Epochs.Epoch;
import hopglade.epoch.Message;
import hopglade.epoch.PolicyMember;
import hopglade.gossip.KeyException;
import hopglade.gossip.KeyRing;
import hopglade.gossip.LocalSocket;
import hopglade.gossip.NumericAddress;
import hopglade.membership.Identity;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One proxy's part in the fleet's policy as a process has it: the member, where it votes the log and its file, the links, and the socket
 * that operators ask. All of it runs on the proxy's own loop, but for what the file's syncs take. Where the file can't be used the proxy
 * serves on by the last epoch that it has, votes no more and says so.
 */
public final class PolicyService implements PolicyMember.Out {

    private static final long TICK_MS = 20;
    private static final double NS_PER_MS = 1e6;

    /** What the proxy does with it. */
    public interface Hooks {
        /** An epoch is in force; {@code options} are the proxy's own with what the policy says in their place. */
        void apply(Options options);

        /** An event for the log. */
        void event(String name, Object... fields);

        /** A connection is being set up, made or taken; what is put into its pipeline here sees each byte as the wire does. */
        default void opens(Channel connection) { }
    }

    private final EventLoop loop;
    private final Options own;
    private final Hooks hooks;
    private final Path folder;
    private final Identity identity;
    private final Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
    private final Epochs epochs = new Epochs();
    private final Links links;
    private RaftLog log;
    private PolicyMember member;
    private LocalSocket socket;
    private boolean closed;
    private boolean toldBroken;
    private int toldTerm = -1;

    private PolicyService(EventLoop loop, Options own, Path folder, Identity identity, Hooks hooks) throws IOException {
        this.loop = loop;
        this.own = own;
        this.folder = folder;
        this.identity = identity;
        this.hooks = hooks;
        for (String voter : own.policy().voters()) {
            voters.put(voter.substring(0, voter.indexOf('=')), address(voter.substring(voter.indexOf('=') + 1)));
        }
        links = new Links(loop, identity, voters, hooks::opens, this::received);
    }

    /**
     * Begins. Throws where the addresses or the keys can't be had; where the folder can't be used it goes on without a vote.
     *
     * @param temporary the folder for temporary files, for where the options name none
     */
    public static PolicyService open(EventLoop loop, Options own, Path temporary, long seed, Hooks hooks) throws IOException, InterruptedException {
        try {
            Identity keys = new KeyRing(Path.of(own.gossip().keyFile()), Path.of(own.gossip().ringFile()));
            Path folder = own.policy().folder().isEmpty() ? temporary.resolve("policy-" + keys.name()) : Path.of(own.policy().folder());
            PolicyService service = new PolicyService(loop, own, folder, keys, hooks);
            service.begin(seed);
            return service;
        } catch (KeyException e) {
            throw new IOException(e.getMessage());
        }
    }

    private static InetSocketAddress address(String text) throws IOException {
        InetSocketAddress address = NumericAddress.parse(text);
        if (address == null) {
            throw new IOException("policy: " + text + " is no numeric address and port");
        }
        return address;
    }

    /** Milliseconds of the machine's monotonic clock. */
    private static double now() {
        return System.nanoTime() / NS_PER_MS;
    }

    private void begin(long seed) throws IOException, InterruptedException {
        Epoch last = null;
        LogFile file = null;
        try {
            last = LogFile.last(folder);
            file = voters.containsKey(identity.name()) ? LogFile.open(folder) : null;
        } catch (IOException e) {
            unusable(e);
        }
        if (file != null) {
            log = new RaftLog(new RaftLog.Parts(identity.name(), List.copyOf(voters.keySet()), epochs, new OnLoop(loop), PolicyService::now, seed, file, file.restored()),
                    links::ask, this::committed);
            links.listen(address(own.policy().listen()));
        }
        member = new PolicyMember(identity.name(), List.copyOf(voters.keySet()), log, epochs, last, now());
        if (!own.policy().socket().isEmpty()) {
            socket = PolicySocket.open(Path.of(own.policy().socket()), loop, this::operator);
        }
        Epoch first = last;
        loop.submit(() -> {
            if (first != null) {
                put(first);
                event(PolicyMember.What.APPLIED, first.number(), now());
            }
            links.start();
            if (log != null) {
                log.start();
            }
            tick();
        }).sync();
    }

    private void unusable(IOException e) {
        toldBroken = true;
        hooks.event("policy_disk", "cause", String.valueOf(e.getMessage()), "folder", folder);
    }

    private void tick() {
        if (closed) {
            return;
        }
        // First the next one: a fault in this must not end all later ones.
        loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        if (log != null && log.broken() && !toldBroken) {
            unusable(new IOException("the log can't be written any more; this proxy votes no more until it starts again"));
        }
        if (log != null && !log.broken()) {
            log.tick(now());
            if (log.led() && log.term() != toldTerm) {
                toldTerm = log.term();
                hooks.event("policy_leads", "subject", toldTerm, "evidence", String.format(Locale.ROOT, "at:%.3f", now()));
            }
        }
        member.tick(now(), this);
    }

    private void committed() {
        member.committed(now(), this);
    }

    private void received(String from, JsonObject json) {
        if (log == null || !log.received(from, json)) {
            member.received(now(), from, Codec.policy(json), this);
        }
    }

    /** Ends it; called on the loop. */
    public void close() {
        closed = true;
        links.close();
        if (socket != null) {
            socket.close();
        }
        if (log != null) {
            log.stop();
        }
    }

    // What the member wants.

    @Override
    public void send(String to, Message message) {
        JsonObject json = Codec.policy(message);
        if (message instanceof Message.Welcome || message instanceof Message.Proposed) {
            links.answer(to, json);
        } else {
            links.ask(to, json);
        }
    }

    @Override
    public void apply(Epoch epoch) {
        try {
            LogFile.keep(folder, epoch);
        } catch (IOException e) {
            // It runs here all the same; only the next process begins with an older one, and asks.
            unusable(e);
        }
        put(epoch);
    }

    private void put(Epoch epoch) {
        try {
            hooks.apply(OptionsFile.policy(epoch.content(), own));
        } catch (BadFileException e) {
            // Checked before it was proposed, by the same checker: a proxy of another version may know less.
            hooks.event("policy_not_understood", "epoch", epoch.number(), "cause", e.getMessage());
        }
    }

    @Override
    public void event(PolicyMember.What what, long epoch, double atMs) {
        hooks.event("policy_" + what.name().toLowerCase(Locale.ROOT), "subject", epoch, "evidence", String.format(Locale.ROOT, "at:%.3f", atMs));
    }

    // What operators ask.

    private void operator(JsonObject asked, Consumer<JsonObject> then) {
        switch (asked.get("ask").getAsString()) {
            case "status" -> then.accept(PolicySocket.answer(0, status()));
            case "history" -> then.accept(PolicySocket.answer(0, history()));
            case "propose" -> propose(asked.get("content").getAsString(), then);
            case "revert" -> {
                Epoch old = epochs.find(asked.get("epoch").getAsLong());
                if (old == null) {
                    then.accept(PolicySocket.answer(PolicySocket.REFUSED, "no epoch " + asked.get("epoch") + " is known here; nothing was changed"));
                } else {
                    propose(old.content(), then);
                }
            }
            default -> then.accept(PolicySocket.answer(PolicySocket.REFUSED, "no such question"));
        }
    }

    private void propose(String content, Consumer<JsonObject> then) {
        try {
            OptionsFile.policy(content, own);
        } catch (BadFileException e) {
            then.accept(PolicySocket.answer(PolicySocket.BAD, e.getMessage() + "; nothing was changed"));
            return;
        }
        if (voters.containsKey(identity.name()) && (log == null || log.broken())) {
            then.accept(PolicySocket.answer(PolicySocket.REFUSED, "this voter's folder " + folder + " can't be used; nothing was changed"));
            return;
        }
        member.propose(now(), content, this, a -> then.accept(PolicySocket.answer(PolicySocket.exit(a.ending()), a.text())));
    }

    private String status() {
        double now = now();
        List<String> lines = new ArrayList<>();
        lines.add(String.format(Locale.ROOT, "%s: epoch %d in force for %.1f s, %s; highest known %d; %d of %d voters reached; leader %s%s", identity.name(),
                member.inForce(), (now - member.inForceSince()) / 1000, member.current(now) ? "current" : "not current", member.highest(),
                member.reachable(now), voters.size(), member.leader(now).isEmpty() ? "unknown" : member.leader(now),
                toldBroken ? "; its folder can't be used" : ""));
        // What a voter was told; others hear only of voters.
        member.seen().entrySet().stream().sorted(Map.Entry.comparingByKey()).filter(e -> !e.getKey().equals(identity.name())).forEach(e ->
                lines.add(String.format(Locale.ROOT, "%-32s epoch %-6d %-8s heard %.1f s ago", e.getKey(), e.getValue().epoch(),
                        e.getValue().fenced() ? "fenced" : "", (now - e.getValue().at()) / 1000)));
        return String.join("\n", lines);
    }

    private String history() {
        List<String> lines = new ArrayList<>();
        for (Epoch e : epochs.history()) {
            lines.add("# epoch " + e.number() + ", proposal " + e.proposal() + (e.number() == member.inForce() ? ", in force" : ""));
            lines.add(e.content().stripTrailing());
        }
        return lines.isEmpty() ? "no epoch yet: each proxy runs its own file" : String.join("\n", lines);
    }
}
