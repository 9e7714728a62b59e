package cacheproxy.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which call each state was last written by: the name of an empty file, {@code
 * call-STATE-BOOT-NANOS}, beside the state's own. It only orders writes that live processes still
 * owe, so it need not outlast a crash of the machine, and one of another boot counts for nothing.
 * Used under the folder's lock.
 */
final class CallMarkers {

    private static final Pattern NAME =
            Pattern.compile("call-(?<state>.+)-(?<boot>[0-9a-f]{32})-(?<nanos>-?[0-9]{1,19})");

    /** A longer state has a digest in its place: a file's name has 255 bytes at most. */
    private static final int LONGEST_STATE = 190;

    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final String UNKNOWN_BOOT = "0".repeat(32);

    private final Path folder;
    private final String boot = boot();

    CallMarkers(Path folder) {
        this.folder = folder;
    }

    private static String boot() {
        try {
            return Files.readString(BOOT_ID).strip().replace("-", "");
        } catch (IOException e) {
            return UNKNOWN_BOOT;
        }
    }

    /** Whether a later call on a state than this one has been written, among the folder's names. */
    boolean isSuperseded(Set<String> names, String state, CallTime call) {
        return names.stream()
                .map(NAME::matcher)
                .filter(name -> isOf(state, name) && name.group("boot").equals(boot))
                .anyMatch(name -> timeIn(name).isAfter(call));
    }

    private static boolean isOf(String state, Matcher name) {
        return name.matches() && name.group("state").equals(shortened(state));
    }

    private static CallTime timeIn(Matcher name) {
        return new CallTime(Long.parseLong(name.group("nanos")));
    }

    /**
     * Records, without a sync, that a state is now written by this call. An older marker is
     * renamed, which works on a full disk too.
     */
    void record(DurableFiles files, Set<String> names, String state, CallTime call)
            throws IOException {
        Path marker = folder.resolve("call-" + shortened(state) + "-" + boot + "-" + call.nanos());
        Optional<String> older = names.stream().filter(n -> isOf(state, NAME.matcher(n))).findAny();
        if (older.isPresent()) {
            files.renameUnsynced(folder.resolve(older.get()), marker);
        } else {
            files.createUnsynced(marker);
        }
    }

    private static String shortened(String state) {
        return state.length() <= LONGEST_STATE
                ? state
                : UUID.nameUUIDFromBytes(state.getBytes(StandardCharsets.UTF_8)).toString();
    }
}
