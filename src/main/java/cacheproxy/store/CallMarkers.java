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
 * Records which operator's call last wrote each state, as the name of an empty file, {@code
 * call-STATE-BOOT-NANOS}, beside the state's own file. The markers only order the pending writes of
 * running processes, so they need not survive a crash of the machine, and those of another boot are
 * ignored. Used while holding the {@link DirectoryLock}.
 */
final class CallMarkers {

    private static final Pattern NAME_PATTERN =
            Pattern.compile("call-(?<state>.+)-(?<boot>[0-9a-f]{32})-(?<nanos>-?[0-9]{1,19})");

    /** A longer state name is replaced by a digest: a file name has at most 255 bytes. */
    private static final int MAX_STATE_CHARS = 190;

    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
    private static final String UNKNOWN_BOOT_ID = "0".repeat(32);

    private final Path directory;
    private final String bootId = readBootId();

    CallMarkers(Path directory) {
        this.directory = directory;
    }

    private static String readBootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip().replace("-", "");
        } catch (IOException e) {
            return UNKNOWN_BOOT_ID;
        }
    }

    /**
     * Whether a later call than {@code call} has written this state.
     *
     * @param names the names of all files in the directory
     */
    boolean isSuperseded(Set<String> names, String state, CallTime call) {
        return names.stream()
                .map(NAME_PATTERN::matcher)
                .filter(name -> isMarkerOf(state, name) && name.group("boot").equals(bootId))
                .anyMatch(name -> timeIn(name).isAfter(call));
    }

    private static boolean isMarkerOf(String state, Matcher marker) {
        return marker.matches() && marker.group("state").equals(shortened(state));
    }

    private static CallTime timeIn(Matcher marker) {
        return new CallTime(Long.parseLong(marker.group("nanos")));
    }

    /**
     * Records, without a sync, that this call has written the state. An existing marker is renamed,
     * which works even on a full disk.
     */
    void record(DurableFiles files, Set<String> names, String state, CallTime call)
            throws IOException {
        Path marker =
                directory.resolve("call-" + shortened(state) + "-" + bootId + "-" + call.nanos());
        Optional<String> older =
                names.stream().filter(n -> isMarkerOf(state, NAME_PATTERN.matcher(n))).findAny();
        if (older.isPresent()) {
            files.renameUnsynced(directory.resolve(older.get()), marker);
        } else {
            files.createUnsynced(marker);
        }
    }

    private static String shortened(String state) {
        return state.length() <= MAX_STATE_CHARS
                ? state
                : UUID.nameUUIDFromBytes(state.getBytes(StandardCharsets.UTF_8)).toString();
    }
}
