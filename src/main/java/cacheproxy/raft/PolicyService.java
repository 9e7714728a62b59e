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
 * Runs one proxy's part in the fleet's policy: the policy member, on a voter also the log and its
 * file, the connections to the voters, and the operators' socket. Everything runs on the proxy's
 * event loop, which file syncs block while they last. If the storage folder fails, the proxy serves
 * with the last epoch that it has, stops voting and logs an event. It retries the folder with
 * backoff, and once that succeeds it votes again with the state on the disk, as after a restart.
 */
public final class PolicyService implements PolicyMember.Out {

    private static final long TICK_MS = 20;
    private static final double NS_PER_MS = 1e6;

    /** Callbacks to the proxy. */
    public interface Hooks {
        /**
         * An epoch has come into force.
         *
         * @param options the proxy's own options, overridden by those that the policy sets
         */
        void apply(Options options);

        /** Writes an event to the log; {@code fields} are names and values in turn. */
        void event(String name, Object... fields);

        /**
         * A connection, outgoing or accepted, is being set up. Handlers that are added to its
         * pipeline here see the bytes as they are on the wire.
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

    /**
     * The voter's log file; after a failure the failed one until another is open. Null before the
     * first.
     */
    private LogFile file;

    /** Null while this proxy does not vote: it is no voter, or its storage has failed. */
    private RaftLog log;

    private PolicyMember member;

    /** The last epoch that came into force here; null before the first. */
    private Epoch inForce;

    /** The epoch in force if it could not be stored in the folder; null if it is stored. */
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
     * Opens and starts the service. Throws if an address or the keys are invalid, or if a socket
     * cannot be bound. If only the storage folder is unusable, the service starts without voting.
     *
     * @param temporary the folder for temporary files, in which the storage folder is created if
     *     the options don't name one
     */
    public static PolicyService open(
            EventLoop loop, Options ownOptions, Path temporary, long seed, Hooks hooks)
            throws IOException, InterruptedException {
        return open(loop, ownOptions, temporary, seed, hooks, new DurableFiles());
    }

    /** As {@link #open}, with the file system calls that the voter's files are written with. */
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
            throw new IOException("policy: " + text + " is not a numeric IP address with a port");
        }
        return address;
    }

    /** Returns the time of the monotonic clock in milliseconds. */
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
     * Starts a voter with the state in its file. Once that file has failed nothing is sent, because
     * MicroRaft keeps a node running whose store has thrown.
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

    /** Stops voting until the file can be written again; the proxy continues as a non-voter. */
    private void stopVoting() {
        storageRecovery.failed(now(), file.failed() ? file.fault() : nodeTerminated(folder));
        log.stop();
        file.closeQuietly();
        log = null;
        member.close(now(), this);
        member = newMember();
    }

    /** Returns the cause to report if the Raft node has terminated without a fault of its file. */
    static StorageUnavailableException nodeTerminated(Path folder) {
        return new StorageUnavailableException(folder, "the Raft node terminated unexpectedly");
    }

    /** Stores the unsaved epoch and votes again; throws if the folder still fails. */
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
        // The next tick is scheduled first, so that an exception in this one does not stop all
        // later ones.
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
            // A message for a voter, but this proxy does not vote at present.
            return;
        }
        if (log == null || !log.received(from, json)) {
            member.received(now(), from, Codec.policyMessage(json), this);
        }
    }

    /** Closes the connections and the socket and stops voting. Called on the event loop. */
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

    // Callbacks of the policy member.

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
            // The epoch is applied here all the same, and stored once the folder can be written.
            unsavedEpoch = epoch;
            storageRecovery.failed(now(), e);
        }
        applyOptions(epoch);
    }

    private void applyOptions(Epoch epoch) {
        try {
            hooks.apply(OptionsFile.withPolicy(epoch.content(), ownOptions));
        } catch (BadFileException e) {
            // The proposing proxy checked the policy with the same parser, but this proxy may be of
            // another version that does not know all of its keys.
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

    // Requests of operators.

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
                                    "epoch "
                                            + request.get("epoch")
                                            + " is not in the history; nothing was changed"));
                } else {
                    propose(earlier.content(), callback);
                }
            }
            default ->
                    callback.accept(PolicySocket.answer(PolicySocket.REFUSED, "unknown request"));
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
                            "this voter's storage folder "
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
        // The proxies that have reported to this voter. On a proxy that does not vote the map is
        // empty.
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
                ? "no epoch yet: each proxy uses its own options file"
                : String.join("\n", lines);
    }
}
