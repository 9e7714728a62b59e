package cacheproxy.raft;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when a line of a file that had been confirmed as written is damaged or missing. The voter
 * does not continue without it: if it had lost its vote it could vote twice in one term. Retrying
 * does not help; an operator has to repair or replace the file.
 */
public final class CorruptLogException extends IOException {

    private static final long serialVersionUID = 1;

    private final transient Path file;
    private final int line;

    /**
     * @param line the number of the first damaged line, counted from 1
     */
    CorruptLogException(Path file, int line, String why) {
        super(file + ":" + line + ": " + why);
        this.file = file;
        this.line = line;
    }

    /** Returns the damaged file. */
    public Path file() {
        return file;
    }

    /** Returns the number of the first damaged line, counted from 1. */
    public int line() {
        return line;
    }
}
