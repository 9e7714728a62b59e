package cacheproxy.store;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Path;

/**
 * Thrown when a file could not be replaced durably; the message names the file and says which
 * content it has now.
 */
public final class FileWriteException extends IOException {

    private static final long serialVersionUID = 1;

    private final boolean replaced;

    FileWriteException(Path file, boolean replaced, IOException cause) {
        super(
                file
                        + (replaced
                                ? ": replaced, but a crash may restore the old content: "
                                : ": could not be written and is unchanged: ")
                        + reason(cause),
                cause);
        this.replaced = replaced;
    }

    /**
     * Returns the system's reason if there is one; the message of some file system exceptions is
     * only a file name.
     */
    private static String reason(IOException cause) {
        if (cause instanceof FileSystemException failure) {
            return failure.getReason() == null ? cause.toString() : failure.getReason();
        }
        return cause.getMessage();
    }

    /** Whether the file already has its new content and only the sync of its directory failed. */
    public boolean isReplaced() {
        return replaced;
    }
}
