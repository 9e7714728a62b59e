package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts a stream into its JSON objects, whether each stands on one line or is indented over many,
 * and tells empty lines, the heartbeats, from them. One that is spoilt or breaks off costs itself
 * alone: an object that begins at the start of a line may be a new one inside a broken one, so it
 * is followed beside it, and the first that makes sense wins. Netty's JsonObjectDecoder passes over
 * heartbeats, takes what follows a broken object for its inside, and after nonsense says nothing
 * more.
 */
final class JsonObjectSplitter {

    /** Takes what was cut out. */
    interface Sink {
        /**
         * Braces that balance, perhaps behind one that broke off; returns whether it is an object
         * that makes sense.
         */
        boolean object(String text, boolean afterMalformed);

        void emptyLine();

        /** Something that belongs to no good object; what it should have said is not known. */
        void malformed();
    }

    /**
     * Bytes of the longest object: the whole list of 3,200 hosts takes 1.2 MB where it comes
     * indented.
     */
    static final int MAX_OBJECT_BYTES = 1 << 22;

    private static final int MAX_CANDIDATES = 8;
    private static final int INITIAL_BUFFER_BYTES = 4096;

    /**
     * Whether a byte, taken as unsigned, neither begins nor ends a text, an object, an array or a
     * line.
     */
    private static final boolean[] ORDINARY_BYTES = ordinaryBytes();

    private final Sink sink;

    /** Oldest first. */
    private final List<Candidate> candidates = new ArrayList<>();

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;

    /** Whether the line that comes has shown nothing yet, and nothing but blanks. */
    private boolean atLineStart = true;

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
     * How many bytes from here on change nothing but the length of what is kept: all but quotes,
     * brackets, escapes and line ends, inside an object and behind the first byte of a line. Nearly
     * all bytes of a long list are such.
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

    /** No object holds an empty line, so one whose end has not come breaks off here. */
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

    /** One that was followed came to nothing; if it was the last, what it was to say is lost. */
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

    /** An object whose end has not come. */
    private static final class Candidate {
        final int from;
        int depth;
        private boolean inString;
        private boolean escaped;

        Candidate(int from) {
            this.from = from;
        }

        /** False where no JSON can go on like this: a text holds no line's end. */
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
