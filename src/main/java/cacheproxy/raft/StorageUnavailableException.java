package cacheproxy.raft;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when a file that has to survive the process could not be read, written or synced, for
 * example because the disk is full. Data that was confirmed before is still there; the data being
 * written is not confirmed. The fault may be transient, so opening the file again may succeed.
 */
public final class StorageUnavailableException extends IOException {

    private static final long serialVersionUID = 1;

    /**
     * @param cause the error of the file system
     */
    StorageUnavailableException(Path file, Throwable cause) {
        super(file + ": " + cause.getMessage(), cause);
    }

    /** For a failure without an error of the file system, such as a call after an earlier one. */
    StorageUnavailableException(Path file, String why) {
        super(file + ": " + why);
    }
}
