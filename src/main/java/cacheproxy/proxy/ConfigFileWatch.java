package cacheproxy.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.Objects;
import java.util.zip.CRC32;

/**
 * Tells whether the file that BALANCER_CONFIG names has changed. It stands in for SIGHUP in a
 * process that was started with that signal ignored, and is neither loaded nor used in any other.
 * Not safe for use by several threads at once.
 */
public final class ConfigFileWatch {

    /** Time from the end of one look at the file to the next. */
    static final long POLL_INTERVAL_MS = 500;

    /** Stands for the checksum of a content that could not be read; no checksum is negative. */
    private static final long UNREADABLE_CHECKSUM = -1;

    /** What the file system says of a regular file. */
    private record Attributes(Object fileKey, long size, FileTime modified) {}

    private final String file;

    /** Null where there is no regular file, or none that can be read. */
    private Attributes attributes;

    private long checksum;

    /**
     * Whether the attributes were the same at the last two looks. The clock of a file system is
     * coarse, so a write right after a look may leave them as they were: the content is compared
     * once more.
     */
    private boolean unchangedAtLastCheck;

    /** Remembers the file as it is now: made before that is first read, it misses no change. */
    public ConfigFileWatch(Map<String, String> environment) {
        file = environment.getOrDefault("BALANCER_CONFIG", "");
        attributes = readAttributes();
        checksum = readChecksum(attributes);
    }

    /** Whether the file was written, touched, replaced, removed or put back since the last look. */
    boolean hasChanged() {
        Attributes current = readAttributes();
        boolean sameAttributes = Objects.equals(current, attributes);
        if (sameAttributes && unchangedAtLastCheck) {
            return false;
        }
        long previousChecksum = checksum;
        attributes = current;
        checksum = readChecksum(current);
        unchangedAtLastCheck = sameAttributes && checksum != UNREADABLE_CHECKSUM;
        return !sameAttributes || checksum != previousChecksum;
    }

    private Attributes readAttributes() {
        try {
            BasicFileAttributes found =
                    Files.readAttributes(Path.of(file), BasicFileAttributes.class);
            // Reading anything else, as a pipe, might wait without end.
            return found.isRegularFile()
                    ? new Attributes(found.fileKey(), found.size(), found.lastModifiedTime())
                    : null;
        } catch (IOException | InvalidPathException e) {
            return null;
        }
    }

    private long readChecksum(Attributes found) {
        if (found == null) {
            return 0;
        }
        CRC32 crc = new CRC32();
        try {
            crc.update(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            return UNREADABLE_CHECKSUM;
        }
        return crc.getValue();
    }
}
