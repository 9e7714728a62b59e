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
 * Keys as files. A key file belongs to one proxy and to its owner's eyes alone; each line is {@code
 * NAME PRIVATE PUBLIC}, the first signs, a second one waits to take its place. A key ring is the
 * same for all; each line is {@code NAME PUBLIC}, and a name may have several while its key is
 * changed. Keys are Ed25519 in base64 of their standard encodings (RFC 8410).
 */
public final class KeyFiles {

    static final String ALGORITHM = "Ed25519";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,32}");
    private static final int MOST_BYTES = 1 << 20;
    private static final Set<PosixFilePermission> OWNER =
            PosixFilePermissions.fromString("rw-------");
    private static final Set<PosixFilePermission> RING =
            PosixFilePermissions.fromString("rw-r--r--");
    private static final Set<PosixFilePermission> OTHERS =
            EnumSet.complementOf(
                    EnumSet.of(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE));
    private static final Set<PosixFilePermission> OTHERS_WRITE =
            EnumSet.of(PosixFilePermission.GROUP_WRITE, PosixFilePermission.OTHERS_WRITE);

    /** A proxy's own key. */
    public record Own(String name, PrivateKey secret, PublicKey open) {}

    /** A key that is trusted. */
    public record Trusted(String name, int id, PublicKey open) {}

    private KeyFiles() {}

    /** The first four bytes of the public key's SHA-256, never 0. */
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
            throw new IllegalStateException(e);
        }
    }

    private interface Maker<T> {
        T make(String name, String[] words) throws GeneralSecurityException;
    }

    /**
     * A proxy's keys, the one that signs first; refused where others than the owner may read or
     * write the file.
     */
    public static List<Own> own(Path file) throws KeyException {
        refuse(file, OTHERS, "only its owner may read and write it: chmod 600");
        List<Own> keys =
                read(
                        file,
                        "NAME PRIVATE PUBLIC",
                        (name, words) ->
                                new Own(
                                        name,
                                        KeyFactory.getInstance(ALGORITHM)
                                                .generatePrivate(
                                                        new PKCS8EncodedKeySpec(
                                                                Base64.getDecoder()
                                                                        .decode(words[1]))),
                                        open(words[2])));
        if (keys.isEmpty() || keys.stream().anyMatch(k -> !k.name().equals(keys.get(0).name()))) {
            throw new KeyException(
                    file + ": " + (keys.isEmpty() ? "holds no key" : "holds keys of two names"));
        }
        return keys;
    }

    /** A ring's keys; refused where others than its owner may write it. */
    public static List<Trusted> ring(Path file) throws KeyException {
        refuse(file, OTHERS_WRITE, "only its owner may write it: chmod go-w");
        return read(
                file,
                "NAME PUBLIC",
                (name, words) -> {
                    PublicKey open = open(words[1]);
                    return new Trusted(name, id(open), open);
                });
    }

    /**
     * One key a line, of as many words as its form has; blank lines and those that begin with a
     * hash are left out.
     */
    private static <T> List<T> read(Path file, String form, Maker<T> maker) throws KeyException {
        List<T> keys = new ArrayList<>();
        int number = 0;
        for (String line : lines(file)) {
            number++;
            String[] words = words(line);
            if (words.length == 0) {
                continue;
            }
            if (words.length != words(form).length || !NAME.matcher(words[0]).matches()) {
                throw new KeyException(
                        file + ":" + number + ": not a key: " + form + " is expected");
            }
            try {
                keys.add(maker.make(words[0], words));
            } catch (GeneralSecurityException | IllegalArgumentException e) {
                throw new KeyException(file + ":" + number + ": not an " + ALGORITHM + " key");
            }
        }
        return keys;
    }

    private static PublicKey open(String text) throws GeneralSecurityException {
        return KeyFactory.getInstance(ALGORITHM)
                .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(text)));
    }

    private static void refuse(Path file, Set<PosixFilePermission> none, String advice)
            throws KeyException {
        try {
            Set<PosixFilePermission> has = Files.getPosixFilePermissions(file);
            if (has.stream().anyMatch(none::contains)) {
                throw new KeyException(
                        file
                                + ": has permissions "
                                + PosixFilePermissions.toString(has)
                                + ", but "
                                + advice);
            }
        } catch (IOException e) {
            throw new KeyException(file + ": cannot be read");
        }
    }

    private static List<String> lines(Path file) throws KeyException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new KeyException(file + ": larger than 1 MiB");
            }
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new KeyException(file + ": cannot be read");
        }
    }

    private static String[] words(String line) {
        String text = line.strip();
        return text.isEmpty() || text.startsWith("#") ? new String[0] : text.split("\\s+");
    }

    /**
     * A new key; a key file that is there already gets it as its second, which waits until {@link
     * #use}.
     */
    public static Own generate(String name, Path keyFile, Path ringFile)
            throws KeyException, IOException {
        return generate(name, keyFile, ringFile, FileOperations.SYSTEM);
    }

    static Own generate(String name, Path keyFile, Path ringFile, FileOperations operations)
            throws KeyException, IOException {
        if (!NAME.matcher(name).matches()) {
            throw new KeyException(
                    name + ": not a name: 1 to 32 letters, digits, dots, underscores and hyphens");
        }
        List<Own> own = Files.exists(keyFile) ? new ArrayList<>(own(keyFile)) : new ArrayList<>();
        if (!own.isEmpty() && !own.get(0).name().equals(name)) {
            throw new KeyException(keyFile + ": is the key of " + own.get(0).name());
        }
        if (own.size() > 1) {
            throw new KeyException(
                    keyFile + ": a new key waits in it already; keys rotate --use puts it to use");
        }
        List<Trusted> trusted =
                Files.exists(ringFile) ? new ArrayList<>(ring(ringFile)) : new ArrayList<>();
        if (own.isEmpty() && trusted.stream().anyMatch(t -> t.name().equals(name))) {
            throw new KeyException(
                    ringFile + ": knows " + name + " already; two proxies must not have one name");
        }
        Own made = pair(name);
        own.add(made);
        trusted.add(new Trusted(name, id(made.open()), made.open()));
        DurableFiles files = new DurableFiles(operations);
        byte[] ringBefore = Files.exists(ringFile) ? Files.readAllBytes(ringFile) : null;
        // The ring first: a key that signs before it is trusted would cut its proxy off.
        writeRing(files, ringFile, trusted);
        try {
            writeOwn(files, keyFile, own);
        } catch (FileWriteException e) {
            if (!e.isReplaced()) {
                restoreRing(files, ringFile, ringBefore, e);
            }
            throw e;
        }
        return made;
    }

    /** Ends the trust in a key that nobody has, as its own file could not be written. */
    private static void restoreRing(
            DurableFiles files, Path ringFile, byte[] before, FileWriteException cause) {
        try {
            if (before == null) {
                files.delete(ringFile);
            } else {
                files.replace(ringFile, before, RING);
            }
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private static Own pair(String name) {
        try {
            KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
            return new Own(name, pair.getPrivate(), pair.getPublic());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** From now on the key that waited signs; the older one is forgotten. */
    public static Own use(Path keyFile) throws KeyException, IOException {
        return use(keyFile, FileOperations.SYSTEM);
    }

    static Own use(Path keyFile, FileOperations operations) throws KeyException, IOException {
        List<Own> own = own(keyFile);
        if (own.size() < 2) {
            throw new KeyException(keyFile + ": no new key waits in it; keys rotate makes one");
        }
        Own last = own.get(own.size() - 1);
        writeOwn(new DurableFiles(operations), keyFile, List.of(last));
        return last;
    }

    /**
     * Takes keys of a proxy that it no longer signs with, nor will, out of a ring; returns how
     * many.
     */
    public static int drop(Path keyFile, Path ringFile) throws KeyException, IOException {
        return drop(keyFile, ringFile, FileOperations.SYSTEM);
    }

    static int drop(Path keyFile, Path ringFile, FileOperations operations)
            throws KeyException, IOException {
        List<Own> own = own(keyFile);
        List<Integer> kept = own.stream().map(k -> id(k.open())).toList();
        List<Trusted> trusted = ring(ringFile);
        List<Trusted> left =
                trusted.stream()
                        .filter(t -> !t.name().equals(own.get(0).name()) || kept.contains(t.id()))
                        .toList();
        writeRing(new DurableFiles(operations), ringFile, left);
        return trusted.size() - left.size();
    }

    private static void writeOwn(DurableFiles files, Path file, List<Own> keys)
            throws FileWriteException {
        List<String> lines =
                keys.stream()
                        .map(
                                key ->
                                        String.join(
                                                " ",
                                                key.name(),
                                                base64(key.secret()),
                                                base64(key.open())))
                        .toList();
        write(files, file, lines, OWNER);
    }

    private static void writeRing(DurableFiles files, Path file, List<Trusted> keys)
            throws FileWriteException {
        List<String> lines =
                keys.stream().map(key -> key.name() + " " + base64(key.open())).toList();
        write(files, file, lines, RING);
    }

    private static String base64(Key key) {
        return Base64.getEncoder().encodeToString(key.getEncoded());
    }

    private static void write(
            DurableFiles files, Path file, List<String> lines, Set<PosixFilePermission> permissions)
            throws FileWriteException {
        String end = System.lineSeparator();
        String text = lines.isEmpty() ? "" : String.join(end, lines) + end;
        files.replace(file, text.getBytes(StandardCharsets.UTF_8), permissions);
    }
}
