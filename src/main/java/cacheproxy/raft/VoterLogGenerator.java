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

/** A voter's log as long service leaves it, for scale tests: what a start has to read and apply. */
public final class VoterLogGenerator {

    private VoterLogGenerator() {}

    /**
     * Writes so many epochs, two entries each, in force all of them, into a voter's folder; {@code
     * content} gives the text of each, from 1 on.
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
