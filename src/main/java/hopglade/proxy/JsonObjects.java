package hopglade.proxy;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;

/**
 * Cuts a stream into its JSON objects, whether each stands on one line or is indented over many, and tells empty lines, the
 * heartbeats, from them. One that is spoilt or breaks off costs itself alone: an object that begins at the start of a line may
 * be a new one inside a broken one, so it is followed beside it, and the first that makes sense wins. Netty's JsonObjectDecoder
 * passes over heartbeats, takes what follows a broken object for its inside, and after nonsense says nothing more.
 */
final class JsonObjects {

    /** Takes what was cut out. */
    interface Sink {
        /** Braces that balance, perhaps behind one that broke off; returns whether it is an object that makes sense. */
        boolean object(String text, boolean behindSpoilt);

        void emptyLine();

        /** Something that belongs to no good object; what it should have said is not known. */
        void spoilt();
    }

    private static final int LONGEST = 1 << 20;
    private static final int MOST_BEGUN = 8;
    private static final int FIRST_BYTES = 4096;

    private final Sink sink;
    private final Deque<Begun> begun = new ArrayDeque<>();
    private byte[] bytes = new byte[FIRST_BYTES];
    private int length;
    /** Whether the line that comes has shown nothing yet, and nothing but blanks. */
    private boolean lineStarts = true;
    private boolean lineEmpty = true;

    JsonObjects(Sink sink) {
        this.sink = sink;
    }

    void read(ByteBuf in) {
        while (in.isReadable()) {
            take(in.readByte());
        }
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
            begun.removeFirst();
        }
        begun.addLast(new Begun(length));
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
        for (Iterator<Begun> each = begun.iterator(); each.hasNext();) {
            Begun open = each.next();
            if (!open.follow(b)) {
                each.remove();
                ended();
                continue;
            }
            if (open.depth > 0) {
                continue;
            }
            each.remove();
            if (sink.object(new String(bytes, open.from, length - open.from, StandardCharsets.UTF_8), !begun.isEmpty())) {
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
                default -> { }
            }
            return true;
        }
    }
}
