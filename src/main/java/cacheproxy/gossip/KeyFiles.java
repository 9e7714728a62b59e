package cacheproxy.gossip;

import cacheproxy.store.DurableFiles;
import cacheproxy.store.FileOperations;
import cacheproxy.store.FileWriteException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.MessageDigest;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.Base64;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads and writes key files and key rings. A key file belongs to one proxy and is accessible only
 * to its owner; each line is {@code NAME PRIVATE PUBLIC}. The first key signs; a second one is a
 * new key that is not active yet. A key ring is the same for all proxies; each line is {@code NAME
 * PUBLIC}, and a name may have several keys during a key rotation. Keys are Ed25519, in base64 of
 * their standard encodings (RFC 8410).
 */
public final class KeyFiles {

    static final String ALGORITHM = "Ed25519";
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,32}");
    private static final int MAX_FILE_BYTES = 1 << 20;
    private static final Set<PosixFilePermission> KEY_FILE_PERMISSIONS =
            PosixFilePermissions.fromString("rw-------");
    private static final Set<PosixFilePermission> RING_FILE_PERMISSIONS =
            PosixFilePermissions.fromString("rw-r--r--");
    private static final Set<PosixFilePermission> KEY_FILE_FORBIDDEN =
            EnumSet.complementOf(
                    EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE));
    private static final Set<PosixFilePermission> RING_FILE_FORBIDDEN =
            EnumSet.of(PosixFilePermission.GROUP_WRITE, PosixFilePermission.OTHERS_WRITE);

    /** A key pair of this proxy. */
    public record OwnKey(String name, PrivateKey privateKey, PublicKey publicKey) {}

    /** A trusted public key of a proxy, from the key ring. */
    public record TrustedKey(String name, int id, PublicKey publicKey) {}

    private KeyFiles() {}

    /** Returns the key's id, the first four bytes of its SHA-256 digest; 1 in place of 0. */
    public static int id(PublicKey key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getEncoded());
            int id =
                    (hash[0] & 0xff) << 24
                            | (hash[1] & 0xff) << 16
                            | (hash[2] & 0xff) << 8
                            | hash[3] & 0xff;
            return id == 0 ? 1 : id;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot compute the SHA-256 digest of a key", e);
        }
    }

    private interface KeyLineParser<T> {
        T parse(String name, String[] words) throws GeneralSecurityException;
    }

    /**
     * Reads a proxy's own keys, the signing key first.
     *
     * @throws KeyException if the file is invalid or accessible to anyone but its owner
     */
    public static List<OwnKey> readOwnKeys(Path file) throws KeyException {
        checkPermissions(
                file, KEY_FILE_FORBIDDEN, "only its owner may read and write it: chmod 600");
        List<OwnKey> keys =
                readKeys(
                        file,
                        "NAME PRIVATE PUBLIC",
                        (name, words) ->
                                new OwnKey(
                                        name,
                                        KeyFactory.getInstance(ALGORITHM)
                                                .generatePrivate(
                                                        new PKCS8EncodedKeySpec(
                                                                Base64.getDecoder()
                                                                        .decode(words[1]))),
                                        parsePublicKey(words[2])));
        if (keys.isEmpty() || keys.stream().anyMatch(k -> !k.name().equals(keys.get(0).name()))) {
            throw new KeyException(
                    file
                            + ": "
                            + (keys.isEmpty() ? "contains no key" : "contains keys of two names"));
        }
        return keys;
    }

    /**
     * Reads the keys of a ring.
     *
     * @throws KeyException if the file is invalid or writable by anyone but its owner
     */
    public static List<TrustedKey> readRing(Path file) throws KeyException {
        checkPermissions(file, RING_FILE_FORBIDDEN, "only its owner may write it: chmod go-w");
        return readKeys(
                file,
                "NAME PUBLIC",
                (name, words) -> {
                    PublicKey publicKey = parsePublicKey(words[1]);
                    return new TrustedKey(name, id(publicKey), publicKey);
                });
    }

    /**
     * Reads one key per line, with as many words as {@code format} has; blank lines and lines that
     * begin with {@code #} are skipped.
     */
    private static <T> List<T> readKeys(Path file, String format, KeyLineParser<T> parser)
            throws KeyException {
        List<T> keys = new ArrayList<>();
        int lineNumber = 0;
        for (String line : readLines(file)) {
            lineNumber++;
            String[] words = splitLine(line);
            if (words.length == 0) {
                continue;
            }
            if (words.length != splitLine(format).length
                    || !NAME_PATTERN.matcher(words[0]).matches()) {
                throw new KeyException(
                        file + ":" + lineNumber + ": malformed key: " + format + " is expected");
            }
            try {
                keys.add(parser.parse(words[0], words));
            } catch (GeneralSecurityException | IllegalArgumentException e) {
                throw new KeyException(
                        file + ":" + lineNumber + ": not a valid " + ALGORITHM + " key");
            }
        }
        return keys;
    }

    private static PublicKey parsePublicKey(String text) throws GeneralSecurityException {
        return KeyFactory.getInstance(ALGORITHM)
                .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(text)));
    }

    private static void checkPermissions(
            Path file, Set<PosixFilePermission> forbidden, String advice) throws KeyException {
        try {
            Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
            if (permissions.stream().anyMatch(forbidden::contains)) {
                throw new KeyException(
                        file
                                + ": has permissions "
                                + PosixFilePermissions.toString(permissions)
                                + ", but "
                                + advice);
            }
        } catch (IOException e) {
            throw new KeyException(file + ": cannot be read");
        }
    }

    private static List<String> readLines(Path file) throws KeyException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new KeyException(file + ": larger than 1 MiB");
            }
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new KeyException(file + ": cannot be read");
        }
    }

    private static String[] splitLine(String line) {
        String text = line.strip();
        return text.isEmpty() || text.startsWith("#") ? new String[0] : text.split("\\s+");
    }

    /**
     * Generates a key and adds it to the key file and the ring. In an existing key file it becomes
     * the second key, which is not used for signing until {@link #activateNewKey}.
     */
    public static OwnKey generate(String name, Path keyFile, Path ringFile)
            throws KeyException, IOException {
        return generate(name, keyFile, ringFile, FileOperations.SYSTEM);
    }

    static OwnKey generate(String name, Path keyFile, Path ringFile, FileOperations operations)
            throws KeyException, IOException {
        if (!NAME_PATTERN.matcher(name).matches()) {
            throw new KeyException(
                    name + ": invalid name: not 1 to 32 letters, digits, '.', '_' and '-'");
        }
        List<OwnKey> ownKeys =
                Files.exists(keyFile) ? new ArrayList<>(readOwnKeys(keyFile)) : new ArrayList<>();
        if (!ownKeys.isEmpty() && !ownKeys.get(0).name().equals(name)) {
            throw new KeyException(keyFile + ": contains the key of " + ownKeys.get(0).name());
        }
        if (ownKeys.size() > 1) {
            throw new KeyException(
                    keyFile + ": already contains a new key; keys rotate --use activates it");
        }
        List<TrustedKey> trustedKeys =
                Files.exists(ringFile) ? new ArrayList<>(readRing(ringFile)) : new ArrayList<>();
        if (ownKeys.isEmpty() && trustedKeys.stream().anyMatch(t -> t.name().equals(name))) {
            throw new KeyException(
                    ringFile + ": already contains " + name + "; names of proxies must be unique");
        }
        OwnKey newKey = generateKeyPair(name);
        ownKeys.add(newKey);
        trustedKeys.add(new TrustedKey(name, id(newKey.publicKey()), newKey.publicKey()));
        DurableFiles files = new DurableFiles(operations);
        byte[] ringBefore = Files.exists(ringFile) ? Files.readAllBytes(ringFile) : null;
        // The ring is written first: other proxies reject packets signed with an untrusted key.
        writeRing(files, ringFile, trustedKeys);
        try {
            writeOwn(files, keyFile, ownKeys);
        } catch (FileWriteException e) {
            if (!e.isReplaced()) {
                restoreRing(files, ringFile, ringBefore, e);
            }
            throw e;
        }
        return newKey;
    }

    /** Removes a key from the ring that no proxy has because its key file was not written. */
    private static void restoreRing(
            DurableFiles files, Path ringFile, byte[] previousContent, FileWriteException cause) {
        try {
            if (previousContent == null) {
                files.delete(ringFile);
            } else {
                files.replace(ringFile, previousContent, RING_FILE_PERMISSIONS);
            }
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private static OwnKey generateKeyPair(String name) {
        try {
            KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
            return new OwnKey(name, pair.getPrivate(), pair.getPublic());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot generate an " + ALGORITHM + " key", e);
        }
    }

    /** Makes the new key the signing key and deletes the older one from the key file. */
    public static OwnKey activateNewKey(Path keyFile) throws KeyException, IOException {
        return activateNewKey(keyFile, FileOperations.SYSTEM);
    }

    static OwnKey activateNewKey(Path keyFile, FileOperations operations)
            throws KeyException, IOException {
        List<OwnKey> ownKeys = readOwnKeys(keyFile);
        if (ownKeys.size() < 2) {
            throw new KeyException(keyFile + ": contains no new key; keys rotate generates one");
        }
        OwnKey newest = ownKeys.get(ownKeys.size() - 1);
        writeOwn(new DurableFiles(operations), keyFile, List.of(newest));
        return newest;
    }

    /**
     * Removes from the ring the keys of a proxy that are no longer in its key file; returns their
     * number.
     */
    public static int removeUnusedKeys(Path keyFile, Path ringFile)
            throws KeyException, IOException {
        return removeUnusedKeys(keyFile, ringFile, FileOperations.SYSTEM);
    }

    static int removeUnusedKeys(Path keyFile, Path ringFile, FileOperations operations)
            throws KeyException, IOException {
        List<OwnKey> ownKeys = readOwnKeys(keyFile);
        List<Integer> ownIds = ownKeys.stream().map(k -> id(k.publicKey())).toList();
        List<TrustedKey> trustedKeys = readRing(ringFile);
        List<TrustedKey> remaining =
                trustedKeys.stream()
                        .filter(
                                t ->
                                        !t.name().equals(ownKeys.get(0).name())
                                                || ownIds.contains(t.id()))
                        .toList();
        writeRing(new DurableFiles(operations), ringFile, remaining);
        return trustedKeys.size() - remaining.size();
    }

    private static void writeOwn(DurableFiles files, Path file, List<OwnKey> keys)
            throws FileWriteException {
        List<String> lines =
                keys.stream()
                        .map(
                                key ->
                                        String.join(
                                                " ",
                                                key.name(),
                                                base64(key.privateKey()),
                                                base64(key.publicKey())))
                        .toList();
        write(files, file, lines, KEY_FILE_PERMISSIONS);
    }

    private static void writeRing(DurableFiles files, Path file, List<TrustedKey> keys)
            throws FileWriteException {
        List<String> lines =
                keys.stream().map(key -> key.name() + " " + base64(key.publicKey())).toList();
        write(files, file, lines, RING_FILE_PERMISSIONS);
    }

    private static String base64(Key key) {
        return Base64.getEncoder().encodeToString(key.getEncoded());
    }

    private static void write(
            DurableFiles files, Path file, List<String> lines, Set<PosixFilePermission> permissions)
            throws FileWriteException {
        String lineEnd = System.lineSeparator();
        String text = lines.isEmpty() ? "" : String.join(lineEnd, lines) + lineEnd;
        files.replace(file, text.getBytes(StandardCharsets.UTF_8), permissions);
    }
}
