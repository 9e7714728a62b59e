package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.gossip.KeyException;
import cacheproxy.gossip.KeyFiles;
import cacheproxy.gossip.KeyFiles.OwnKey;
import cacheproxy.gossip.KeyRing;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.Signature;
import java.security.SignatureException;
import java.util.List;
import java.util.Locale;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code keys} subcommands. */
@Command(
        name = "keys",
        description =
                "Generates, rotates and checks the keys with which proxies authenticate to each other.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        synopsisSubcommandLabel = "generate|rotate|check|cost")
final class KeysCommands {

    /** The options for the key file and the key ring, which most subcommands have. */
    static final class KeyFileOptions {
        @Option(
                names = "--key",
                required = true,
                paramLabel = "FILE",
                description = "the proxy's own key file")
        Path keyFile;

        @Option(
                names = "--ring",
                required = true,
                paramLabel = "FILE",
                description = "the key ring, the same for all proxies")
        Path ringFile;
    }

    private static final int PACKET_BYTES = 400;
    private static final int ROUNDS = 2000;

    private interface KeyOperation {
        String run() throws KeyException, IOException;
    }

    private static int report(KeyOperation operation) throws BadFileException, IOException {
        try {
            System.out.println(operation.run());
            return Cli.OK;
        } catch (KeyException e) {
            throw new BadFileException(e.getMessage());
        }
    }

    private static String keyId(OwnKey key) {
        return String.format(Locale.ROOT, "%08x", KeyFiles.id(key.publicKey()));
    }

    @Command(
            name = "generate",
            description = "Generates the key of a new proxy and adds it to the key ring.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int generate(
            @Parameters(paramLabel = "NAME") String name,
            @picocli.CommandLine.Mixin KeyFileOptions files)
            throws BadFileException, IOException {
        return report(
                () -> {
                    if (java.nio.file.Files.exists(files.keyFile)) {
                        throw new KeyException(
                                files.keyFile
                                        + ": exists already; use keys rotate to change a proxy's key");
                    }
                    return name
                            + ": key "
                            + keyId(KeyFiles.generate(name, files.keyFile, files.ringFile));
                });
    }

    @Command(
            name = "rotate",
            description =
                    "Changes a proxy's key in three steps, each followed by SIGHUP to the proxies: without an option a new "
                            + "key is generated and trusted, --use signs with it, --drop revokes the old one.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int rotate(
            @picocli.CommandLine.Mixin KeyFileOptions files,
            @Option(names = "--use", description = "sign with the new key") boolean use,
            @Option(names = "--drop", description = "revoke the old key") boolean drop)
            throws BadFileException, IOException {
        return report(
                () -> {
                    if (use) {
                        return "signs with key " + keyId(KeyFiles.activateNewKey(files.keyFile));
                    }
                    if (drop) {
                        return KeyFiles.removeUnusedKeys(files.keyFile, files.ringFile)
                                + " keys revoked";
                    }
                    String name = KeyFiles.readOwnKeys(files.keyFile).get(0).name();
                    return name
                            + ": new key "
                            + keyId(KeyFiles.generate(name, files.keyFile, files.ringFile))
                            + " is trusted; distribute the ring to all proxies, then run keys rotate --use";
                });
    }

    @Command(
            name = "cost",
            description =
                    "Measures the cost of a signature on this machine, and that of HMAC-SHA256 with a shared secret.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int cost() throws GeneralSecurityException {
        byte[] packet = new byte[PACKET_BYTES];
        KeyPair pair = KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
        Signature signature = Signature.getInstance("Ed25519");
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(new byte[32], "HmacSHA256"));
        byte[][] signed = new byte[1][];
        System.out.printf(
                Locale.ROOT,
                "packets of %d bytes, mean of %d operations after as many for warm-up%n",
                PACKET_BYTES,
                ROUNDS);
        System.out.printf(
                Locale.ROOT,
                "Ed25519 sign       %8.1f us, 64 bytes%n",
                meanMicros(
                        () -> {
                            signature.initSign(pair.getPrivate());
                            signature.update(packet);
                            signed[0] = signature.sign();
                        }));
        System.out.printf(
                Locale.ROOT,
                "Ed25519 verify     %8.1f us%n",
                meanMicros(
                        () -> {
                            signature.initVerify(pair.getPublic());
                            signature.update(packet);
                            if (!signature.verify(signed[0])) {
                                throw new SignatureException(
                                        "signature verification failed for a packet signed here");
                            }
                        }));
        System.out.printf(
                Locale.ROOT,
                "HMAC-SHA256 either %8.1f us, 32 bytes%n",
                meanMicros(() -> mac.doFinal(packet)));
        return Cli.OK;
    }

    private interface CryptoOperation {
        void run() throws GeneralSecurityException;
    }

    private static double meanMicros(CryptoOperation operation) throws GeneralSecurityException {
        long startNs = 0;
        for (int i = 0; i < 2 * ROUNDS; i++) {
            startNs = i == ROUNDS ? System.nanoTime() : startNs;
            operation.run();
        }
        return (System.nanoTime() - startNs) / 1e3 / ROUNDS;
    }

    @Command(
            name = "check",
            description =
                    "Exits with 0 if a proxy would start with these files; otherwise prints one message and exits with 2.",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class)
    int check(@picocli.CommandLine.Mixin KeyFileOptions files)
            throws BadFileException, IOException {
        return report(
                () -> {
                    KeyRing ring = new KeyRing(files.keyFile, files.ringFile);
                    List<OwnKey> ownKeys = KeyFiles.readOwnKeys(files.keyFile);
                    return ring.name()
                            + ": signs with key "
                            + keyId(ownKeys.get(0))
                            + (ownKeys.size() > 1
                                    ? ", key " + keyId(ownKeys.get(1)) + " is not in use yet"
                                    : "")
                            + "; the ring contains "
                            + KeyFiles.readRing(files.ringFile).size()
                            + " trusted keys";
                });
    }
}
