package cacheproxy.lab.virtual;

import cacheproxy.membership.Identity;
import java.util.Arrays;
import java.util.Set;

/**
 * An identity whose signature is a hash over the signer's name and the data. Signatures of
 * different members differ and cost almost no CPU time, but they are no protection: anyone can
 * forge them.
 *
 * @param namesWithoutKey names that have no key in the key ring
 */
public record HashIdentity(String name, Set<String> namesWithoutKey) implements Identity {

    private static final int KEY_ID = 7;

    @Override
    public int keyId() {
        return KEY_ID;
    }

    private static byte[] signature(String signer, byte[] data, int length) {
        byte[] signature = new byte[SIGNATURE_BYTES];
        long hash = signer.hashCode();
        for (int i = 0; i < length; i++) {
            hash = (hash ^ data[i]) * 0x100000001b3L;
            signature[i % SIGNATURE_BYTES] ^= (byte) (hash >>> 32);
        }
        return signature;
    }

    @Override
    public byte[] sign(byte[] data, int length) {
        return signature(name, data, length);
    }

    @Override
    public boolean hasKey(String other, int keyId) {
        return !namesWithoutKey.contains(other);
    }

    @Override
    public boolean verify(String signer, int keyId, byte[] data, int length, byte[] signature) {
        return Arrays.equals(signature, signature(signer, data, length));
    }

    @Override
    public boolean verify(String signer, byte[] data, byte[] signature) {
        return verify(signer, KEY_ID, data, data.length, signature);
    }
}
