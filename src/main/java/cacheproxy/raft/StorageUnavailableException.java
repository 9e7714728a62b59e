package cacheproxy.raft;

import java.io.IOException;
import java.nio.file.Path;

/**
 * A file that has to outlast its process could not be read, written or synced, as with a full disk.
 * What was confirmed before is still there; what was being written is not confirmed. The fault may
 * pass: opening the file again tells.
 */
public final class StorageUnavailableException extends IOException {

    private static final long serialVersionUID = 1;

    /**
     * @param cause what the file system said
     */
    StorageUnavailableException(Path file, Throwable cause) {
        super(file + ": " + cause.getMessage(), cause);
    }

    /** For a call on a store that has failed before. */
    StorageUnavailableException(Path file, String why) {
        super(file + ": " + why);
    }
}
