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
 * Detects changes of the file that BALANCER_CONFIG names. It replaces SIGHUP in a process that was
 * started with that signal ignored; other processes neither load nor use it. Not thread-safe.
 */
public final class ConfigFileWatch {

    /** Delay between the end of one check and the start of the next. */
    static final long POLL_INTERVAL_MS = 500;

    /** Checksum value of content that could not be read. CRC-32 values are never negative. */
    private static final long UNREADABLE_CHECKSUM = -1;

    /** File-system attributes of a regular file. */
    private record Attributes(Object fileKey, long size, FileTime modified) {}

    private final String file;

    /** Null if there is no regular file or its attributes cannot be read. */
    private Attributes attributes;

    private long checksum;

    /**
     * Whether the attributes were equal at the last two checks. File-system timestamps are coarse,
     * so a write right after a check may leave the attributes unchanged; the content is therefore
     * compared once more.
     */
    private boolean unchangedAtLastCheck;

    /**
     * Records the present state of the file. To miss no change, create the watch before the file is
     * first read.
     */
    public ConfigFileWatch(Map<String, String> environment) {
        file = environment.getOrDefault("BALANCER_CONFIG", "");
        attributes = readAttributes();
        checksum = readChecksum(attributes);
    }

    /**
     * Whether the file was written, touched, replaced, removed or restored since the last check.
     */
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
            // Reading other file types, such as a pipe, could block forever.
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
