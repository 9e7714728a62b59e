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
        default void connectionOpened(Channel connection) {}
    }

    private final EventLoop loop;
    private final Options ownOptions;
    private final Hooks hooks;
    private final Path folder;
    private final Identity identity;
    private final Map<String, InetSocketAddress> voters = new LinkedHashMap<>();
    private final PeerConnections peerConnections;
    private final DurableFiles files;
    private final StorageRecovery storageRecovery;
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
    private Epoch unsavedEpoch;

    private int incarnation;
    private LocalSocket socket;
    private boolean closed;
    private int reportedTerm = -1;

    private PolicyService(
            EventLoop loop,
            Options ownOptions,
            Path folder,
            Identity identity,
            long seed,
            Hooks hooks,
            DurableFiles files)
            throws IOException {
        this.loop = loop;
        this.ownOptions = ownOptions;
        this.folder = folder;
        this.identity = identity;
        this.hooks = hooks;
        this.files = files;
        this.seed = seed;
        storageRecovery = new StorageRecovery(folder, hooks::event);
        for (String voter : ownOptions.policy().voters()) {
            voters.put(
                    voter.substring(0, voter.indexOf('=')),
                    address(voter.substring(voter.indexOf('=') + 1)));
        }
        peerConnections =
                new PeerConnections(
                        loop, identity, voters, hooks::connectionOpened, this::received);
    }

    /**
     * Begins. Throws where the addresses or the keys can't be had; where the folder can't be used
     * it goes on without a vote.
     *
     * @param temporary the folder for temporary files, for where the options name none
     */
    public static PolicyService open(
            EventLoop loop, Options ownOptions, Path temporary, long seed, Hooks hooks)
            throws IOException, InterruptedException {
        return open(loop, ownOptions, temporary, seed, hooks, new DurableFiles());
    }

    /** {@link #open} with the calls to the file system that the voter's file is written by. */
    static PolicyService open(
            EventLoop loop,
            Options ownOptions,
            Path temporary,
            long seed,
            Hooks hooks,
            DurableFiles files)
            throws IOException, InterruptedException {
        try {
            Identity keys =
                    new KeyRing(
                            Path.of(ownOptions.gossip().keyFile()),
                            Path.of(ownOptions.gossip().ringFile()));
            Path folder =
                    ownOptions.policy().folder().isEmpty()
                            ? temporary.resolve("policy-" + keys.name())
                            : Path.of(ownOptions.policy().folder());
            PolicyService service =
                    new PolicyService(loop, ownOptions, folder, keys, seed, hooks, files);
            service.start();
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

    private void start() throws IOException, InterruptedException {
        LogFile opened = null;
        boolean corrupt = false;
        try {
            inForce = LogFile.lastEpoch(folder);
            opened = isVoter() ? LogFile.open(folder, files) : null;
        } catch (IOException e) {
            corrupt = e instanceof CorruptLogException;
            storageRecovery.failed(now(), e);
        }
        if (opened != null) {
            startVoting(opened);
        } else {
            member = newMember();
        }
        if (isVoter() && !corrupt) {
            peerConnections.listen(address(ownOptions.policy().listen()));
        }
        if (!ownOptions.policy().socket().isEmpty()) {
            socket =
                    PolicySocket.open(
                            Path.of(ownOptions.policy().socket()), loop, this::answerOperator);
        }
        Epoch first = inForce;
        loop.submit(
                        () -> {
                            if (first != null) {
                                applyOptions(first);
                                event(PolicyMember.PolicyEvent.APPLIED, first.number(), now());
                            }
                            peerConnections.start();
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
    private void startVoting(LogFile opened) {
        file = opened;
        epochs = new Epochs();
        RaftLog.Parts parts =
                new RaftLog.Parts(
                        identity.name(),
                        List.copyOf(voters.keySet()),
                        epochs,
                        new EventLoopExecutor(loop),
                        PolicyService::now,
                        seed + incarnation++,
                        opened,
                        opened.restored());
        log =
                new RaftLog(
                        parts,
                        (to, json) -> {
                            if (!opened.failed()) {
                                peerConnections.sendToVoter(to, json);
                            }
                        },
                        this::entriesCommitted);
        member = newMember();
    }

    /** Ends the vote until the file can be written again; this proxy goes on without one. */
    private void stopVoting() {
        storageRecovery.failed(now(), file.failed() ? file.fault() : nodeTerminated(folder));
        log.stop();
        file.closeQuietly();
        log = null;
        member.close(now(), this);
        member = newMember();
    }

    /** Why a voter that ended by itself, with a file that did not fail, is begun anew. */
    static StorageUnavailableException nodeTerminated(Path folder) {
        return new StorageUnavailableException(folder, "the raft node has ended by itself");
    }

    /** Keeps what could not be kept, and votes again; throws where the folder still fails. */
    private void recoverStorage() throws IOException {
        if (unsavedEpoch != null) {
            LogFile.store(folder, unsavedEpoch, files);
            unsavedEpoch = null;
        }
        if (isVoter() && log == null) {
            LogFile opened = file == null ? LogFile.open(folder, files) : file.reopen();
            member.close(now(), this);
            startVoting(opened);
            log.start();
        }
    }

    private void tick() {
        if (closed) {
            return;
        }
        // First the next one: a fault in this must not end all later ones.
        loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
        if (log != null && (file.failed() || log.isTerminated())) {
            stopVoting();
        }
        storageRecovery.tick(now(), this::recoverStorage);
        if (log != null) {
            log.tick(now());
            if (log.isLeadershipConfirmed() && log.term() != reportedTerm) {
                reportedTerm = log.term();
                hooks.event(
                        "policy_leads",
                        "subject",
                        reportedTerm,
                        "evidence",
                        String.format(Locale.ROOT, "at:%.3f", now()));
            }
        }
        member.tick(now(), this);
    }

    private void entriesCommitted() {
        member.entriesCommitted(now(), this);
    }

    private void received(String from, JsonObject json) {
        if (log == null && Codec.raftMessage(from, json) != null) {
            // For a voter; there is none here for the moment.
            return;
        }
        if (log == null || !log.received(from, json)) {
            member.received(now(), from, Codec.policyMessage(json), this);
        }
    }

    /** Ends it; called on the loop. */
    public void close() {
        closed = true;
        peerConnections.close();
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
        JsonObject json = Codec.policyMessage(message);
        if (message instanceof Message.Welcome || message instanceof Message.Proposed) {
            peerConnections.sendToProxy(to, json);
        } else {
            peerConnections.sendToVoter(to, json);
        }
    }

    @Override
    public void apply(Epoch epoch) {
        inForce = epoch;
        try {
            LogFile.store(folder, epoch, files);
            unsavedEpoch = null;
        } catch (StorageUnavailableException e) {
            // It runs here all the same, and is kept once the folder can be written.
            unsavedEpoch = epoch;
            storageRecovery.failed(now(), e);
        }
        applyOptions(epoch);
    }

    private void applyOptions(Epoch epoch) {
        try {
            hooks.apply(OptionsFile.withPolicy(epoch.content(), ownOptions));
        } catch (BadFileException e) {
            // Checked before it was proposed, by the same checker: a proxy of another version may
            // know less.
            hooks.event("policy_not_understood", "epoch", epoch.number(), "cause", e.getMessage());
        }
    }

    @Override
    public void event(PolicyMember.PolicyEvent what, long epoch, double atMs) {
        hooks.event(
                "policy_" + what.name().toLowerCase(Locale.ROOT),
                "subject",
                epoch,
                "evidence",
                String.format(Locale.ROOT, "at:%.3f", atMs));
    }

    // What operators ask.

    private void answerOperator(JsonObject request, Consumer<JsonObject> callback) {
        switch (request.get("ask").getAsString()) {
            case "status" -> callback.accept(PolicySocket.answer(0, status()));
            case "history" -> callback.accept(PolicySocket.answer(0, history()));
            case "propose" -> propose(request.get("content").getAsString(), callback);
            case "revert" -> {
                Epoch earlier = epochs.find(request.get("epoch").getAsLong());
                if (earlier == null) {
                    callback.accept(
                            PolicySocket.answer(
                                    PolicySocket.REFUSED,
                                    "no epoch "
                                            + request.get("epoch")
                                            + " is known here; nothing was changed"));
                } else {
                    propose(earlier.content(), callback);
                }
            }
            default ->
                    callback.accept(PolicySocket.answer(PolicySocket.REFUSED, "no such question"));
        }
    }

    private void propose(String content, Consumer<JsonObject> callback) {
        try {
            OptionsFile.withPolicy(content, ownOptions);
        } catch (BadFileException e) {
            callback.accept(
                    PolicySocket.answer(
                            PolicySocket.INVALID_POLICY, e.getMessage() + "; nothing was changed"));
            return;
        }
        if (isVoter() && (log == null || log.isTerminated())) {
            callback.accept(
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
                a -> callback.accept(PolicySocket.answer(PolicySocket.exit(a.status()), a.text())));
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
                        member.isCurrent(now) ? "current" : "not current",
                        member.highestKnownEpoch(),
                        member.reachableVoters(now),
                        voters.size(),
                        member.leader(now).isEmpty() ? "unknown" : member.leader(now),
                        storageRecovery.failed() ? "; its folder can't be used" : ""));
        // What a voter was told; others hear only of voters.
        member.proxyReports().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .filter(entry -> !entry.getKey().equals(identity.name()))
                .forEach(
                        entry ->
                                lines.add(
                                        String.format(
                                                Locale.ROOT,
                                                "%-32s epoch %-6d %-8s heard %.1f s ago",
                                                entry.getKey(),
                                                entry.getValue().epoch(),
                                                entry.getValue().fenced() ? "fenced" : "",
                                                (now - entry.getValue().atMs()) / 1000)));
        return String.join("\n", lines);
    }

    private String history() {
        List<String> lines = new ArrayList<>();
        for (Epoch epoch : epochs.history()) {
            lines.add(
                    "# epoch "
                            + epoch.number()
                            + ", proposal "
                            + epoch.proposal()
                            + (epoch.number() == member.inForce() ? ", in force" : ""));
            lines.add(epoch.content().stripTrailing());
        }
        return lines.isEmpty()
                ? "no epoch yet: each proxy runs its own file"
                : String.join("\n", lines);
    }
}
