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
final class JsonObjects {

    /** Takes what was cut out. */
    interface Sink {
        /**
         * Braces that balance, perhaps behind one that broke off; returns whether it is an object
         * that makes sense.
         */
        boolean object(String text, boolean behindSpoilt);

        void emptyLine();

        /** Something that belongs to no good object; what it should have said is not known. */
        void spoilt();
    }

    /**
     * Bytes of the longest object: the whole list of 3,200 hosts takes 1.2 MB where it comes
     * indented.
     */
    static final int LONGEST = 1 << 22;

    private static final int MOST_BEGUN = 8;
    private static final int FIRST_BYTES = 4096;

    /**
     * Whether a byte, taken as unsigned, neither begins nor ends a text, an object, an array or a
     * line.
     */
    private static final boolean[] PLAIN = plain();

    private final Sink sink;

    /** Oldest first. */
    private final List<Begun> begun = new ArrayList<>();

    private byte[] bytes = new byte[FIRST_BYTES];
    private int length;

    /** Whether the line that comes has shown nothing yet, and nothing but blanks. */
    private boolean lineStarts = true;

    private boolean lineEmpty = true;

    JsonObjects(Sink sink) {
        this.sink = sink;
    }

    private static boolean[] plain() {
        boolean[] plain = new boolean[1 << Byte.SIZE];
        Arrays.fill(plain, true);
        for (char special : "\"\\{}[]\n".toCharArray()) {
            plain[special] = false;
        }
        return plain;
    }

    void read(ByteBuf in) {
        byte[] piece = ByteBufUtil.getBytes(in);
        in.skipBytes(piece.length);
        for (int at = 0; at < piece.length; ) {
            int run = plainRun(piece, at);
            if (run == 0) {
                take(piece[at]);
                at++;
            } else {
                append(piece, at, run);
                at += run;
            }
        }
    }

    /**
     * How many bytes from here on change nothing but the length of what is kept: all but quotes,
     * brackets, escapes and line ends, inside an object and behind the first byte of a line. Nearly
     * all bytes of a long list are such.
     */
    private int plainRun(byte[] piece, int from) {
        if (begun.isEmpty() || lineEmpty || isEscaped()) {
            return 0;
        }
        int end = Math.min(piece.length, from + LONGEST - length);
        int at = from;
        while (at < end && PLAIN[piece[at] & 0xFF]) {
            at++;
        }
        return at - from;
    }

    private boolean isEscaped() {
        for (int i = 0; i < begun.size(); i++) {
            if (begun.get(i).escaped) {
                return true;
            }
        }
        return false;
    }

    private void append(byte[] piece, int from, int count) {
        while (bytes.length < length + count) {
            bytes = Arrays.copyOf(bytes, 2 * bytes.length);
        }
        System.arraycopy(piece, from, bytes, length, count);
        length += count;
    }

    private void take(byte b) {
        boolean blank = b == ' ' || b == '\t' || b == '\r';
        if (b == '\n' && lineEmpty) {
            heartbeat();
        } else if (b == '{' && (begun.isEmpty() || lineStarts)) {
            begin();
        } else if (begun.isEmpty() && lineEmpty && !blank) {
            sink.spoilt();
        }
        lineEmpty = b == '\n' || lineEmpty && blank;
        lineStarts = b == '\n';
        if (!begun.isEmpty()) {
            keep(b);
            follow(b);
        }
    }

    /** No object holds an empty line, so one whose end has not come breaks off here. */
    private void heartbeat() {
        if (!begun.isEmpty()) {
            drop();
            sink.spoilt();
        }
        sink.emptyLine();
    }

    private void begin() {
        if (begun.size() >= MOST_BEGUN) {
            begun.remove(0);
        }
        begun.add(new Begun(length));
    }

    private void keep(byte b) {
        if (length >= LONGEST) {
            drop();
            sink.spoilt();
            return;
        }
        if (length == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * length);
        }
        bytes[length++] = b;
    }

    private void follow(byte b) {
        for (int i = 0; i < begun.size(); ) {
            Begun open = begun.get(i);
            if (!open.follow(b)) {
                begun.remove(i);
                ended();
                continue;
            }
            if (open.depth > 0) {
                i++;
                continue;
            }
            begun.remove(i);
            if (sink.object(
                    new String(bytes, open.from, length - open.from, StandardCharsets.UTF_8),
                    !begun.isEmpty())) {
                drop();
                return;
            }
            ended();
        }
    }

    /** One that was followed came to nothing; if it was the last, what it was to say is lost. */
    private void ended() {
        if (begun.isEmpty()) {
            drop();
            sink.spoilt();
        }
    }

    private void drop() {
        begun.clear();
        length = 0;
        if (bytes.length > FIRST_BYTES) {
            bytes = new byte[FIRST_BYTES];
        }
    }

    /** An object whose end has not come. */
    private static final class Begun {
        final int from;
        int depth;
        private boolean text;
        private boolean escaped;

        Begun(int from) {
            this.from = from;
        }

        /** False where no JSON can go on like this: a text holds no line's end. */
        boolean follow(byte b) {
            if (text) {
                if (escaped) {
                    escaped = false;
                } else if (b == '\\') {
                    escaped = true;
                } else if (b == '"') {
                    text = false;
                }
                return b != '\n';
            }
            switch (b) {
                case '"' -> text = true;
                case '{', '[' -> depth++;
                case '}', ']' -> depth--;
                default -> {}
            }
            return true;
        }
    }
}
