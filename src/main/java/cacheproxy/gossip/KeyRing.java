package cacheproxy.gossip;

import cacheproxy.gossip.KeyFiles.OwnKey;
import cacheproxy.gossip.KeyFiles.TrustedKey;
import cacheproxy.membership.Identity;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.security.Signature;
import java.util.List;

/** This proxy's signing key and the trusted keys, read from their files. Not thread-safe. */
public final class KeyRing implements Identity {

    private final Path keyFile;
    private final Path ringFile;
    private final Signature signer;
    private final Signature verifier;
    private OwnKey ownKey;
    private int ownKeyId;
    private List<TrustedKey> trustedKeys = List.of();

    public KeyRing(Path keyFile, Path ringFile) throws KeyException {
        this.keyFile = keyFile;
        this.ringFile = ringFile;
        try {
            signer = Signature.getInstance(KeyFiles.ALGORITHM);
            verifier = Signature.getInstance(KeyFiles.ALGORITHM);
        } catch (GeneralSecurityException e) {
            throw new KeyException(KeyFiles.ALGORITHM + " is not available: " + e.getMessage());
        }
        reload();
    }

    /** Reads both files again. If they are invalid, the current keys stay in use. */
    public void reload() throws KeyException {
        OwnKey next = KeyFiles.readOwnKeys(keyFile).get(0);
        List<TrustedKey> ring = KeyFiles.readRing(ringFile);
        if (ownKey != null && !ownKey.name().equals(next.name())) {
            throw new KeyException(
                    keyFile
                            + ": contains the key of "
                            + next.name()
                            + ", but this proxy is "
                            + ownKey.name());
        }
        int nextId = KeyFiles.id(next.publicKey());
        if (ring.stream().noneMatch(t -> t.id() == nextId && t.name().equals(next.name()))) {
            throw new KeyException(
                    ringFile
                            + ": does not contain the signing key of "
                            + keyFile
                            + "; other proxies would reject all packets of this proxy");
        }
        ownKey = next;
        ownKeyId = nextId;
        trustedKeys = ring;
    }

    @Override
    public String name() {
        return ownKey.name();
    }

    @Override
    public int keyId() {
        return ownKeyId;
    }

    @Override
    public byte[] sign(byte[] data, int length) {
        try {
            signer.initSign(ownKey.privateKey());
            signer.update(data, 0, length);
            return signer.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot sign with the key of " + ownKey.name(), e);
        }
    }

    @Override
    public boolean hasKey(String name, int keyId) {
        return trustedKeys.stream()
                .anyMatch(t -> t.name().equals(name) && (keyId == ANY_KEY || t.id() == keyId));
    }

    @Override
    public boolean verify(String name, int keyId, byte[] data, int length, byte[] signature) {
        return trustedKeys.stream()
                .anyMatch(
                        t ->
                                t.id() == keyId
                                        && t.name().equals(name)
                                        && isSignedBy(t.publicKey(), data, length, signature));
    }

    @Override
    public boolean verify(String name, byte[] data, byte[] signature) {
        return trustedKeys.stream()
                .anyMatch(
                        t ->
                                t.name().equals(name)
                                        && isSignedBy(t.publicKey(), data, data.length, signature));
    }

    private boolean isSignedBy(PublicKey key, byte[] data, int length, byte[] signature) {
        try {
            verifier.initVerify(key);
            verifier.update(data, 0, length);
            return verifier.verify(signature);
        } catch (GeneralSecurityException malformed) {
            return false;
        }
    }
}
