package cacheproxy.admin;

import java.util.function.Consumer;

/**
 * The operations behind the operators' address, invoked on the event loop that serves it. A call
 * that changes state is answered once, on that loop, when it is known whether the change has been
 * stored: within 1 s, before or after the method returns.
 */
public interface AdminOperations {

    /** The answer to an operator: an HTTP status and a line of text. */
    record Reply(int status, String text) {

        /** The condition holds, or the operation has been carried out (200). */
        public static Reply ok(String text) {
            return new Reply(200, text);
        }

        /** No such cache node is known (404). */
        public static Reply notFound(String text) {
            return new Reply(404, text);
        }

        /** The condition does not hold, or the operation can't be carried out now (503). */
        public static Reply unavailable(String text) {
            return new Reply(503, text);
        }
    }

    /** Returns whether this process can serve. */
    Reply health();

    /** Starts or ends the maintenance of a cache node. */
    void setMaintenance(String node, boolean start, Consumer<Reply> answer);

    /** Starts or ends the drain of this proxy. */
    void setDraining(boolean start, Consumer<Reply> answer);
}
