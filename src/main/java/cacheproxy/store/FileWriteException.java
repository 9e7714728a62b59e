package cacheproxy.store;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Path;

/** A file could not be replaced durably; the message names it and says which content it has now. */
public final class FileWriteException extends IOException {

    private static final long serialVersionUID = 1;

    private final boolean replaced;

    FileWriteException(Path file, boolean replaced, IOException cause) {
        super(
                file
                        + (replaced
                                ? ": is replaced, but may be as before after a crash: "
                                : ": could not be written and is as it was: ")
                        + reason(cause),
                cause);
        this.replaced = replaced;
    }

    /**
     * The system's words where it gave any; the message of some exceptions is a file's name alone.
     */
    private static String reason(IOException cause) {
        if (cause instanceof FileSystemException failure) {
            return failure.getReason() == null ? cause.toString() : failure.getReason();
        }
        return cause.getMessage();
    }

    /** Whether the file has its new content already, and only the sync of its name failed. */
    public boolean isReplaced() {
        return replaced;
    }
}
