package cacheproxy.raft;

import cacheproxy.epoch.Epochs.Activate;
import cacheproxy.epoch.Epochs.Prepare;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Generates a voter's log with a long history of epochs, for scale tests of a voter's start. */
public final class VoterLogGenerator {

    private VoterLogGenerator() {}

    /**
     * Writes the log of a voter into its folder: {@code epochs} epochs of two entries each (prepare
     * and activate), numbered from 1. Opened again, the voter applies them all, and the last one is
     * in force.
     *
     * @param content returns the policy text of an epoch, given its number
     */
    public static void write(
            Path folder, String self, List<String> voters, int epochs, IntFunction<String> content)
            throws IOException {
        try (LogFile file = LogFile.open(folder)) {
            List<RaftEndpoint> members =
                    voters.stream().map(v -> (RaftEndpoint) new Endpoint(v)).toList();
            file.persistAndFlushLocalEndpoint(
                    Codec.MODEL_FACTORY
                            .createRaftEndpointPersistentStateBuilder()
                            .setLocalEndpoint(new Endpoint(self))
                            .setVoting(true)
                            .build());
            file.persistAndFlushInitialGroupMembers(
                    Codec.MODEL_FACTORY
                            .createRaftGroupMembersViewBuilder()
                            .setLogIndex(0)
                            .setMembers(members)
                            .setVotingMembers(members)
                            .build());
            file.persistAndFlushTerm(
                    Codec.MODEL_FACTORY
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(1)
                            .setVotedFor(members.get(0))
                            .build());
            List<LogEntry> entries = new ArrayList<>();
            for (int epoch = 1; epoch <= epochs; epoch++) {
                entries.add(
                        entry(
                                2 * epoch - 1,
                                new Prepare("past-" + epoch, epoch - 1, content.apply(epoch))));
                entries.add(entry(2 * epoch, new Activate(epoch)));
            }
            file.persistLogEntries(entries);
            file.flush();
        }
    }

    private static LogEntry entry(long index, Object change) {
        return Codec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(1)
                .setOperation(change)
                .build();
    }
}
