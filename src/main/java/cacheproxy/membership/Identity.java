package cacheproxy.membership;

/** This proxy's signing key and the keys that it trusts. Signatures are Ed25519, 64 bytes. */
public interface Identity {

    int SIGNATURE_BYTES = 64;

    /** Returns this proxy's name. */
    String name();

    /** Returns the id of the key with which this proxy currently signs. */
    int keyId();

    /** Signs the first {@code length} bytes of {@code data}. */
    byte[] sign(byte[] data, int length);

    /** The id that matches any key of a name. */
    int ANY_KEY = 0;

    /** Returns whether the key ring contains a key of this name and id; a cheap look-up. */
    boolean hasKey(String name, int keyId);

    /**
     * Returns whether the first {@code length} bytes of {@code data} were signed by this key of
     * this name; costs a signature verification.
     */
    boolean verify(String name, int keyId, byte[] data, int length, byte[] signature);

    /** Returns whether any key of this name signed the data; used for forwarded statements. */
    boolean verify(String name, byte[] data, byte[] signature);
}
