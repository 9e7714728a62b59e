package cacheproxy.raft;

import java.io.IOException;
import java.nio.file.Path;

/**
 * A line that was confirmed can't be read back. No attempt is made to go on without it: a voter
 * that has forgotten its vote could give it twice. Trying again does not help; an operator has to
 * decide.
 */
public final class CorruptLogException extends IOException {

    private static final long serialVersionUID = 1;

    private final transient Path file;
    private final int line;

    /**
     * @param line the number of the first damaged line, from 1 on
     */
    CorruptLogException(Path file, int line, String why) {
        super(file + ":" + line + ": " + why);
        this.file = file;
        this.line = line;
    }

    /** The damaged file. */
    public Path file() {
        return file;
    }

    /** The number of the first damaged line, from 1 on. */
    public int line() {
        return line;
    }
}
