package cacheproxy.measure;

/** Hashes that are the same at every proxy and at every start. */
public final class Hash {

    private Hash() {}

    /** FNV-1a over a text's characters. */
    public static long hashText(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return h;
    }

    /** A number in (0, 1] that depends on {@code z} alone. */
    public static double unit(long z) {
        return ((mix(z) >>> 11) + 1) * 0x1.0p-53;
    }

    /** Spreads a number's bits over all of the result's: the end of MurmurHash3. */
    public static long mix(long z) {
        z = (z ^ (z >>> 33)) * 0xff51afd7ed558ccdL;
        z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return z ^ (z >>> 33);
    }
}
