package cacheproxy.raft;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Options;
import cacheproxy.config.OptionsFile;
import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Message;
import cacheproxy.epoch.PolicyMember;
import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyRing;
import cacheproxy.gossip.LocalSocket;
import cacheproxy.gossip.NumericAddress;
import cacheproxy.membership.Identity;
import com.google.gson.JsonObject;
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
 * One proxy's part in the fleet's policy as a process has it: the member, where it votes the log
 * and its file, the links, and the socket that operators ask. All of it runs on the proxy's own
 * loop, but for what the file's syncs take. Where the file can't be used the proxy serves on by the
 * last epoch that it has, votes no more and says so. It tries the file again now and then, and once
 * that works it votes again from what is on the disk, as after a restart.
 */
public final class PolicyService implements PolicyMember.Out {

    private static final long TICK_MS = 20;
    private static final double NS_PER_MS = 1e6;

    /** What the proxy does with it. */
    public interface Hooks {
        /**
         * An epoch is in force; {@code options} are the proxy's own with what the policy says in
         * their place.
         */
        void apply(Options options);

        /** An event for the log. */
        void event(String name, Object... fields);

        /**
         * A connection is being set up, made or taken; what is put into its pipeline here sees each
         * byte as the wire does.
         */
        default void opens(Channel connection) {}
    }

    private final EventLoop loop;
    private final Options own;
    private final Hooks hooks;
    private final Path folder;
    private final Identity identity;
    private final Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
    private final Links links;
    private final DurableFiles files;
    private final StorageRecovery storage;
    private final long seed;
    private Epochs epochs = new Epochs();

    /** The voter's file, the last one while none can be opened; null before the first. */
    private LogFile file;

    /** Null where this proxy does not vote, for the moment or at all. */
    private RaftLog log;

    private PolicyMember member;

    /** The last epoch that was put in force here; null before the first. */
    private Epoch inForce;

    /** What the folder lacks of that: the epoch in force where it could not be kept; else null. */
    private Epoch unkept;

    private int lives;
    private LocalSocket socket;
    private boolean closed;
    private int toldTerm = -1;

    private PolicyService(
            EventLoop loop,
            Options own,
            Path folder,
            Identity identity,
            long seed,
            Hooks hooks,
            DurableFiles files)
            throws IOException {
        this.loop = loop;
        this.own = own;
        this.folder = folder;
        this.identity = identity;
        this.hooks = hooks;
        this.files = files;
        this.seed = seed;
        storage = new StorageRecovery(folder, hooks::event);
        for (String voter : own.policy().voters()) {
            voters.put(
                    voter.substring(0, voter.indexOf('=')),
                    address(voter.substring(voter.indexOf('=') + 1)));
        }
        links = new Links(loop, identity, voters, hooks::opens, this::received);
    }

    /**
     * Begins. Throws where the addresses or the keys can't be had; where the folder can't be used
     * it goes on without a vote.
     *
     * @param temporary the folder for temporary files, for where the options name none
     */
    public static PolicyService open(
            EventLoop loop, Options own, Path temporary, long seed, Hooks hooks)
            throws IOException, InterruptedException {
        return open(loop, own, temporary, seed, hooks, new DurableFiles());
    }

    /** {@link #open} with the calls to the file system that the voter's file is written by. */
    static PolicyService open(
            EventLoop loop, Options own, Path temporary, long seed, Hooks hooks, DurableFiles files)
            throws IOException, InterruptedException {
        try {
            Identity keys =
                    new KeyRing(Path.of(own.gossip().keyFile()), Path.of(own.gossip().ringFile()));
            Path folder =
                    own.policy().folder().isEmpty()
                            ? temporary.resolve("policy-" + keys.name())
                            : Path.of(own.policy().folder());
            PolicyService service = new PolicyService(loop, own, folder, keys, seed, hooks, files);
            service.begin();
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

    private boolean isVoter() {
        return voters.containsKey(identity.name());
    }

    private void begin() throws IOException, InterruptedException {
        LogFile opened = null;
        boolean corrupt = false;
        try {
            inForce = LogFile.last(folder);
            opened = isVoter() ? LogFile.open(folder, files) : null;
        } catch (IOException e) {
            corrupt = e instanceof CorruptLogException;
            storage.failed(now(), e);
        }
        if (opened != null) {
            vote(opened);
        } else {
            member = newMember();
        }
        if (isVoter() && !corrupt) {
            links.listen(address(own.policy().listen()));
        }
        if (!own.policy().socket().isEmpty()) {
            socket = PolicySocket.open(Path.of(own.policy().socket()), loop, this::operator);
        }
        Epoch first = inForce;
        loop.submit(
                        () -> {
                            if (first != null) {
                                put(first);
                                event(PolicyMember.What.APPLIED, first.number(), now());
                            }
                            links.start();
                            if (log != null) {
                                log.start();
                            }
                            tick();
                        })
                .sync();
    }

    private PolicyMember newMember() {
        return new PolicyMember(
                identity.name(), List.copyOf(voters.keySet()), log, epochs, inForce, now());
    }

    /**
     * Makes a voter of this proxy, from what its file holds. Nothing is sent once that file has
     * failed: the library goes on with a node whose store has thrown.
     */
    private void vote(LogFile opened) {
        file = opened;
        epochs = new Epochs();
        RaftLog.Parts parts =
                new RaftLog.Parts(
                        identity.name(),
                        List.copyOf(voters.keySet()),
                        epochs,
                        new OnLoop(loop),
                        PolicyService::now,
                        seed + lives++,
                        opened,
                        opened.restored());
        log =
                new RaftLog(
                        parts,
                        (to, json) -> {
                            if (!opened.failed()) {
                                links.ask(to, json);
                            }
                        },
                        this::committed);
        member = newMember();
    }

    /** Ends the vote until the file can be written again; this proxy goes on without one. */
    private void stopVoting() {
        storage.failed(now(), file.failed() ? file.fault() : nodeEnded(folder));
        log.stop();
        file.discard();
        log = null;
        member.end(now(), this);
        member = newMember();
    }

    /** Why a voter that ended by itself, with a file that did not fail, is begun anew. */
    static StorageUnavailableException nodeEnded(Path folder) {
        return new StorageUnavailableException(folder, "the raft node has ended by itself");
    }

    /** Keeps what could not be kept, and votes again; throws where the folder still fails. */
    private void useFolderAgain() throws IOException {
        if (unkept != null) {
            LogFile.keep(folder, unkept, files);
            unkept = null;
        }
        if (isVoter() && log == null) {
            LogFile opened = file == null ? LogFile.open(folder, files) : file.reopen();
            member.end(now(), this);
            vote(opened);
            log.start();
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        // First the next one: a fault in this must not end all later ones.
        loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        if (log != null && (file.failed() || log.broken())) {
            stopVoting();
        }
        storage.tick(now(), this::useFolderAgain);
        if (log != null) {
            log.tick(now());
            if (log.led() && log.term() != toldTerm) {
                toldTerm = log.term();
                hooks.event(
                        "policy_leads",
                        "subject",
                        toldTerm,
                        "evidence",
                        String.format(Locale.ROOT, "at:%.3f", now()));
            }
        }
        member.tick(now(), this);
    }

    private void committed() {
        member.committed(now(), this);
    }

    private void received(String from, JsonObject json) {
        if (log == null && Codec.raft(from, json) != null) {
            // For a voter; there is none here for the moment.
            return;
        }
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
        inForce = epoch;
        try {
            LogFile.keep(folder, epoch, files);
            unkept = null;
        } catch (StorageUnavailableException e) {
            // It runs here all the same, and is kept once the folder can be written.
            unkept = epoch;
            storage.failed(now(), e);
        }
        put(epoch);
    }

    private void put(Epoch epoch) {
        try {
            hooks.apply(OptionsFile.policy(epoch.content(), own));
        } catch (BadFileException e) {
            // Checked before it was proposed, by the same checker: a proxy of another version may
            // know less.
            hooks.event("policy_not_understood", "epoch", epoch.number(), "cause", e.getMessage());
        }
    }

    @Override
    public void event(PolicyMember.What what, long epoch, double atMs) {
        hooks.event(
                "policy_" + what.name().toLowerCase(Locale.ROOT),
                "subject",
                epoch,
                "evidence",
                String.format(Locale.ROOT, "at:%.3f", atMs));
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
                    then.accept(
                            PolicySocket.answer(
                                    PolicySocket.REFUSED,
                                    "no epoch "
                                            + asked.get("epoch")
                                            + " is known here; nothing was changed"));
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
            then.accept(
                    PolicySocket.answer(
                            PolicySocket.BAD, e.getMessage() + "; nothing was changed"));
            return;
        }
        if (isVoter() && (log == null || log.broken())) {
            then.accept(
                    PolicySocket.answer(
                            PolicySocket.REFUSED,
                            "this voter's folder "
                                    + folder
                                    + " can't be used; nothing was changed"));
            return;
        }
        member.propose(
                now(),
                content,
                this,
                a -> then.accept(PolicySocket.answer(PolicySocket.exit(a.ending()), a.text())));
    }

    private String status() {
        double now = now();
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        Locale.ROOT,
                        "%s: epoch %d in force for %.1f s, %s; highest known %d; %d of %d voters reached; leader %s%s",
                        identity.name(),
                        member.inForce(),
                        (now - member.inForceSince()) / 1000,
                        member.current(now) ? "current" : "not current",
                        member.highest(),
                        member.reachable(now),
                        voters.size(),
                        member.leader(now).isEmpty() ? "unknown" : member.leader(now),
                        storage.failed() ? "; its folder can't be used" : ""));
        // What a voter was told; others hear only of voters.
        member.seen().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .filter(e -> !e.getKey().equals(identity.name()))
                .forEach(
                        e ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "%-32s epoch %-6d %-8s heard %.1f s ago",
                                                e.getKey(),
                                                e.getValue().epoch(),
                                                e.getValue().fenced() ? "fenced" : "",
                                                (now - e.getValue().at()) / 1000)));
        return String.join("\n", lines);
    }

    private String history() {
        List<String> lines = new ArrayList<>();
        for (Epoch e : epochs.history()) {
            lines.add(
                    "# epoch "
                            + e.number()
                            + ", proposal "
                            + e.proposal()
                            + (e.number() == member.inForce() ? ", in force" : ""));
            lines.add(e.content().stripTrailing());
        }
        return lines.isEmpty()
                ? "no epoch yet: each proxy runs its own file"
                : String.join("\n", lines);
    }
}
