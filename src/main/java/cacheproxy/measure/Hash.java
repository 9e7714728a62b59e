package cacheproxy.measure;

/** Hashes that are the same at every proxy and after every restart. */
public final class Hash {

    private Hash() {}

    /** FNV-1a over the characters of a text. */
    public static long hashText(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** A number in (0, 1] that depends on {@code bits} alone. */
    public static double unit(long bits) {
        return ((mix(bits) >>> 11) + 1) * 0x1.0p-53;
    }

    /** Spreads each input bit over all bits of the result: the finalizer of MurmurHash3. */
    public static long mix(long bits) {
        bits = (bits ^ (bits >>> 33)) * 0xff51afd7ed558ccdL;
        bits = (bits ^ (bits >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return bits ^ (bits >>> 33);
    }
}
