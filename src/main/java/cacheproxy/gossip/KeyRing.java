package cacheproxy.gossip;

import cacheproxy.gossip.KeyFiles.Own;
import cacheproxy.gossip.KeyFiles.Trusted;
import cacheproxy.membership.Identity;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.security.Signature;
import java.util.List;

/** This proxy's key and those that it trusts, from their files; used by one thread. */
public final class KeyRing implements Identity {

    private final Path keyFile;
    private final Path ringFile;
    private final Signature signer;
    private final Signature verifier;
    private Own own;
    private int id;
    private List<Trusted> trusted = List.of();

    public KeyRing(Path keyFile, Path ringFile) throws KeyException {
        this.keyFile = keyFile;
        this.ringFile = ringFile;
        try {
            signer = Signature.getInstance(KeyFiles.ALGORITHM);
            verifier = Signature.getInstance(KeyFiles.ALGORITHM);
        } catch (GeneralSecurityException e) {
            throw new KeyException(
                    KeyFiles.ALGORITHM + " is not to be had here: " + e.getMessage());
        }
        reload();
    }

    /** Reads both files again. What is wrong with them changes nothing of what holds. */
    public void reload() throws KeyException {
        Own next = KeyFiles.own(keyFile).get(0);
        List<Trusted> ring = KeyFiles.ring(ringFile);
        if (own != null && !own.name().equals(next.name())) {
            throw new KeyException(
                    keyFile
                            + ": is the key of "
                            + next.name()
                            + ", but this proxy is "
                            + own.name());
        }
        int nextId = KeyFiles.id(next.open());
        if (ring.stream().noneMatch(t -> t.id() == nextId && t.name().equals(next.name()))) {
            throw new KeyException(
                    ringFile
                            + ": does not hold the key that "
                            + keyFile
                            + " signs with; nobody would believe this proxy");
        }
        own = next;
        id = nextId;
        trusted = ring;
    }

    @Override
    public String name() {
        return own.name();
    }

    @Override
    public int keyId() {
        return id;
    }

    @Override
    public byte[] sign(byte[] data, int length) {
        try {
            signer.initSign(own.secret());
            signer.update(data, 0, length);
            return signer.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public boolean knows(String name, int keyId) {
        return trusted.stream()
                .anyMatch(t -> t.name().equals(name) && (keyId == ANY_KEY || t.id() == keyId));
    }

    @Override
    public boolean verify(String name, int keyId, byte[] data, int length, byte[] signature) {
        return trusted.stream()
                .anyMatch(
                        t ->
                                t.id() == keyId
                                        && t.name().equals(name)
                                        && signed(t.open(), data, length, signature));
    }

    @Override
    public boolean verify(String name, byte[] data, byte[] signature) {
        return trusted.stream()
                .anyMatch(
                        t ->
                                t.name().equals(name)
                                        && signed(t.open(), data, data.length, signature));
    }

    private boolean signed(PublicKey key, byte[] data, int length, byte[] signature) {
        try {
            verifier.initVerify(key);
            verifier.update(data, 0, length);
            return verifier.verify(signature);
        } catch (GeneralSecurityException malformed) {
            return false;
        }
    }
}
