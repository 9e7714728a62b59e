package cacheproxy.membership;

/** Who this proxy is, and whom it believes. Signatures are 64 bytes, as those of Ed25519. */
public interface Identity {

    int SIGNATURE_BYTES = 64;

    /** This proxy's name. */
    String name();

    /** Tells which of this proxy's keys signs now. */
    int keyId();

    /** Signs the bytes before {@code length}. */
    byte[] sign(byte[] data, int length);

    /** The id that stands for any key of a name. */
    int ANY_KEY = 0;

    /** Whether the key ring holds a key of this name and id; costs next to nothing. */
    boolean hasKey(String name, int keyId);

    /** Whether the bytes before {@code length} were signed by this name; costs a verification. */
    boolean verify(String name, int keyId, byte[] data, int length, byte[] signature);

    /** Whether any key of this name signed; for a statement that others pass on. */
    boolean verify(String name, byte[] data, byte[] signature);
}
