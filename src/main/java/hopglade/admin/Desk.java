package hopglade.admin;

/** Who carries the operators' calls out. Each is answered before it returns, on the loop that the address is served on. */
public interface Desk {

    /** What an operator is answered: a status, and a line that says what happened. */
    record Reply(int status, String text) {

        /** It is so, or has been done. */
        public static Reply yes(String text) {
            return new Reply(200, text);
        }

        /** No such cache node. */
        public static Reply unknown(String text) {
            return new Reply(404, text);
        }

        /** It is not so, or can't be done now. */
        public static Reply no(String text) {
            return new Reply(503, text);
        }
    }

    /** Whether this process can serve. */
    Reply health();

    /** Takes a cache node out or puts it back. */
    Reply maintain(String node, boolean begins);

    /** Empties the proxy or ends that. */
    Reply drain(boolean begins);
}
