package cacheproxy.admin;

import java.util.function.Consumer;

/**
 * Who carries the operators' calls out, on the loop that the address is served on. A call that
 * changes something is answered once, on that loop, when it is known to be kept or not: within 1 s,
 * before or after the method returns.
 */
public interface AdminOperations {

    /** What an operator is answered: a status, and a line that says what happened. */
    record Reply(int status, String text) {

        /** It is so, or has been done. */
        public static Reply ok(String text) {
            return new Reply(200, text);
        }

        /** No such cache node. */
        public static Reply notFound(String text) {
            return new Reply(404, text);
        }

        /** It is not so, or can't be done now. */
        public static Reply unavailable(String text) {
            return new Reply(503, text);
        }
    }

    /** Whether this process can serve. */
    Reply health();

    /** Takes a cache node out or puts it back. */
    void setMaintenance(String node, boolean start, Consumer<Reply> answer);

    /** Empties the proxy or ends that. */
    void setDraining(boolean start, Consumer<Reply> answer);
}
