package cacheproxy.proxy;

import cacheproxy.Router.Settings;
import cacheproxy.benchlink.SettingsReader;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration that the platform passes to a proxy. {@code peerListen} and {@code peersAll}
 * are null and {@code peers} is empty where proxies do not exchange messages. {@code
 * knownEndpoints} is null where the proxy has never received an endpoint list. {@code admin}, the
 * address for operators, is null where there is none. {@code passedSocket} is null where the proxy
 * binds the clients' socket itself. {@code sharedDirectory}, the directory shared with the process
 * that this one replaces, is null where both {@code admin} and {@code passedSocket} are, or where
 * TMPDIR is not set.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxSockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        EndpointListUpdate knownEndpoints,
        Settings settings,
        int maxOpenRequests,
        InetSocketAddress admin,
        String passedSocket,
        Path sharedDirectory) {

    private static final int DEFAULT_MAX_SOCKETS = 1024;
    private static final int HEX_RADIX = 16;
    private static final String SHARED_DIRECTORY_NAME = "flintmill";

    public Config {
        peers = List.copyOf(peers);
    }

    /**
     * Reads the file that the environment variable BALANCER_CONFIG names. The other variables
     * override its values.
     */
    public static Config fromEnvironment(Map<String, String> environment) throws ConfigException {
        String file = environment.get("BALANCER_CONFIG");
        if (file == null) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        String json;
        try {
            json = Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("cannot read configuration file " + file);
        }
        return parse(json, environment);
    }

    /**
     * Reads the file again, ignoring BALANCER_DISCOVERY: the file may have changed since the
     * process started, the variable cannot.
     */
    static Config reread(Map<String, String> environment) throws ConfigException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("BALANCER_DISCOVERY");
        return fromEnvironment(remaining);
    }

    static Config parse(String json, Map<String, String> environment) throws ConfigException {
        try {
            JsonObject root = JsonParser.parseString(json).getAsJsonObject();
            JsonObject settings = root.getAsJsonObject("settings");
            if (settings == null) {
                throw new ConfigException("settings: missing");
            }
            InetSocketAddress admin = optional(root, "admin", environment.get("BALANCER_ADMIN"));
            String passedSocket = environment.get("BALANCER_PASSED_SOCKET");
            return new Config(
                    text(root, "name", environment.get("BALANCER_NAME")),
                    required(root, "listen", environment.get("BALANCER_LISTEN")),
                    required(root, "discovery", environment.get("BALANCER_DISCOVERY")),
                    seed(root),
                    sockets(root),
                    optional(root, "peer_listen", null),
                    peers(root),
                    optional(root, "peers_all", null),
                    known(root),
                    SettingsReader.read(settings),
                    maxOpen(settings),
                    admin,
                    passedSocket,
                    admin == null && passedSocket == null ? null : shared(environment));
        } catch (RuntimeException e) {
            // Gson and the checks of the settings throw several unchecked exception types.
            throw new ConfigException(
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("malformed"));
        }
    }

    private static String text(JsonObject object, String field, String override) {
        if (override != null) {
            return override;
        }
        JsonElement value = object.get(field);
        return value == null || value.isJsonNull() ? null : value.getAsString();
    }

    private static InetSocketAddress required(JsonObject object, String field, String override)
            throws ConfigException {
        String value = text(object, field, override);
        if (value == null) {
            throw new ConfigException(field + ": missing");
        }
        return Addresses.parse(value);
    }

    private static InetSocketAddress optional(JsonObject object, String field, String override) {
        String value = text(object, field, override);
        return value == null ? null : Addresses.parse(value);
    }

    private static List<InetSocketAddress> peers(JsonObject object) {
        List<InetSocketAddress> peers = new ArrayList<>();
        if (object.has("peers") && !object.get("peers").isJsonNull()) {
            object.getAsJsonArray("peers")
                    .forEach(p -> peers.add(Addresses.parse(p.getAsString())));
        }
        return peers;
    }

    private static EndpointListUpdate known(JsonObject object) {
        JsonElement known = object.get("known");
        return known == null || known.isJsonNull()
                ? null
                : EndpointListUpdate.parse(known.getAsJsonObject());
    }

    private static Path shared(Map<String, String> environment) {
        String directory = environment.get("TMPDIR");
        return directory == null ? null : Path.of(directory, SHARED_DIRECTORY_NAME);
    }

    /**
     * Whether a process of this proxy has been started on this machine before; that process may
     * still be running.
     */
    boolean mayReplaceProcess() {
        return sharedDirectory != null && Files.isDirectory(sharedDirectory);
    }

    private static long seed(JsonObject object) {
        String seed = text(object, "seed", null);
        return seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, HEX_RADIX);
    }

    private static int sockets(JsonObject object) {
        JsonObject limits = object.getAsJsonObject("limits");
        return limits != null && limits.has("sockets")
                ? limits.get("sockets").getAsInt()
                : DEFAULT_MAX_SOCKETS;
    }

    private static int maxOpen(JsonObject settings) {
        JsonObject limits = settings.getAsJsonObject("limits");
        return limits != null && limits.has("max_open")
                ? limits.get("max_open").getAsInt()
                : Integer.MAX_VALUE;
    }
}
