package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a stream into its JSON objects, whether each is on one line or is indented over many, and
 * reports empty lines, which are heartbeats. An object that is malformed or truncated affects only
 * itself: an object that begins at the start of a line may be a new one after a truncated one, so
 * it is tracked in parallel as a candidate, and the first candidate that is valid wins. Netty's
 * JsonObjectDecoder skips heartbeats, takes what follows a truncated object for its content, and
 * reports nothing after malformed input.
 */
final class JsonObjectSplitter {

    /** Receives what was found in the stream. */
    interface Sink {
        /**
         * Called with text whose braces balance; {@code afterMalformed} says whether an unfinished
         * object came before it. Returns whether the text is a valid object.
         */
        boolean object(String text, boolean afterMalformed);

        /** Called at an empty line, which is a heartbeat. */
        void emptyLine();

        /** Called for input that belongs to no valid object; its content is lost. */
        void malformed();
    }

    /**
     * Longest object: the complete endpoint list of 3,200 hosts takes 1.2 MB when it is indented.
     */
    static final int MAX_OBJECT_BYTES = 1 << 22;

    /** Objects that are tracked in parallel. */
    private static final int MAX_CANDIDATES = 8;

    private static final int INITIAL_BUFFER_BYTES = 4096;

    /**
     * Whether a byte, taken as unsigned, neither begins nor ends a string, an escape, an object, an
     * array or a line.
     */
    private static final boolean[] ORDINARY_BYTES = ordinaryBytes();

    private final Sink sink;

    /** The unfinished objects, oldest first. */
    private final List<Candidate> candidates = new ArrayList<>();

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;

    /** Whether the current position is the start of a line. */
    private boolean atLineStart = true;

    /** Whether the current line has only blanks so far. */
    private boolean lineBlank = true;

    JsonObjectSplitter(Sink sink) {
        this.sink = sink;
    }

    private static boolean[] ordinaryBytes() {
        boolean[] ordinary = new boolean[1 << Byte.SIZE];
        Arrays.fill(ordinary, true);
        for (char special : "\"\\{}[]\n".toCharArray()) {
            ordinary[special] = false;
        }
        return ordinary;
    }

    void read(ByteBuf input) {
        byte[] chunk = ByteBufUtil.getBytes(input);
        input.skipBytes(chunk.length);
        for (int index = 0; index < chunk.length; ) {
            int runLength = ordinaryRunLength(chunk, index);
            if (runLength == 0) {
                consume(chunk[index]);
                index++;
            } else {
                append(chunk, index, runLength);
                index += runLength;
            }
        }
    }

    /**
     * Number of bytes from here on that only have to be appended: all but quotes, brackets, escapes
     * and line ends, within an object and after the first non-blank byte of a line. Nearly all
     * bytes of a long endpoint list are of this kind.
     */
    private int ordinaryRunLength(byte[] chunk, int from) {
        if (candidates.isEmpty() || lineBlank || isEscaped()) {
            return 0;
        }
        int end = Math.min(chunk.length, from + MAX_OBJECT_BYTES - length);
        int index = from;
        while (index < end && ORDINARY_BYTES[chunk[index] & 0xFF]) {
            index++;
        }
        return index - from;
    }

    private boolean isEscaped() {
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.get(i).escaped) {
                return true;
            }
        }
        return false;
    }

    private void append(byte[] chunk, int from, int count) {
        while (buffer.length < length + count) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        System.arraycopy(chunk, from, buffer, length, count);
        length += count;
    }

    private void consume(byte value) {
        boolean blank = value == ' ' || value == '\t' || value == '\r';
        if (value == '\n' && lineBlank) {
            handleEmptyLine();
        } else if (value == '{' && (candidates.isEmpty() || atLineStart)) {
            startCandidate();
        } else if (candidates.isEmpty() && lineBlank && !blank) {
            sink.malformed();
        }
        lineBlank = value == '\n' || lineBlank && blank;
        atLineStart = value == '\n';
        if (!candidates.isEmpty()) {
            appendByte(value);
            advanceCandidates(value);
        }
    }

    /** No object contains an empty line, so an unfinished object is truncated here. */
    private void handleEmptyLine() {
        if (!candidates.isEmpty()) {
            reset();
            sink.malformed();
        }
        sink.emptyLine();
    }

    private void startCandidate() {
        if (candidates.size() >= MAX_CANDIDATES) {
            candidates.remove(0);
        }
        candidates.add(new Candidate(length));
    }

    private void appendByte(byte value) {
        if (length >= MAX_OBJECT_BYTES) {
            reset();
            sink.malformed();
            return;
        }
        if (length == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * length);
        }
        buffer[length++] = value;
    }

    private void advanceCandidates(byte value) {
        for (int i = 0; i < candidates.size(); ) {
            Candidate candidate = candidates.get(i);
            if (!candidate.advance(value)) {
                candidates.remove(i);
                handleDroppedCandidate();
                continue;
            }
            if (candidate.depth > 0) {
                i++;
                continue;
            }
            candidates.remove(i);
            if (sink.object(
                    new String(
                            buffer,
                            candidate.from,
                            length - candidate.from,
                            StandardCharsets.UTF_8),
                    !candidates.isEmpty())) {
                reset();
                return;
            }
            handleDroppedCandidate();
        }
    }

    /** Handles a candidate that was dropped; if it was the last one, its content is lost. */
    private void handleDroppedCandidate() {
        if (candidates.isEmpty()) {
            reset();
            sink.malformed();
        }
    }

    private void reset() {
        candidates.clear();
        length = 0;
        if (buffer.length > INITIAL_BUFFER_BYTES) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    /** An object whose end has not been read yet. */
    private static final class Candidate {
        final int from;
        int depth;
        private boolean inString;
        private boolean escaped;

        Candidate(int from) {
            this.from = from;
        }

        /**
         * Tracks one more byte; returns false if no JSON can continue like this: a string contains
         * no line end.
         */
        boolean advance(byte value) {
            if (inString) {
                if (escaped) {
                    escaped = false;
                } else if (value == '\\') {
                    escaped = true;
                } else if (value == '"') {
                    inString = false;
                }
                return value != '\n';
            }
            switch (value) {
                case '"' -> inString = true;
                case '{', '[' -> depth++;
                case '}', ']' -> depth--;
                default -> {}
            }
            return true;
        }
    }
}
