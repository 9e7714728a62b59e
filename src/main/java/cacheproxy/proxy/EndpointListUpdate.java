package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * One message from discovery.
 *
 * @param version sequence number of this state of the endpoint list
 * @param snapshot whether {@code endpoints} is the complete list; otherwise it contains only the
 *     entries that changed
 */
public record EndpointListUpdate(long version, boolean snapshot, List<Endpoint> endpoints) {

    /** A node and the address at which this proxy reaches it. */
    record Endpoint(Node node, SocketAddress address) {}

    public EndpointListUpdate {
        endpoints = List.copyOf(endpoints);
    }

    List<Node> nodes() {
        return endpoints.stream().map(Endpoint::node).toList();
    }

    /**
     * Parses the whole message.
     *
     * @throws IllegalArgumentException if any entry is invalid, so that an update is never applied
     *     in part
     */
    static EndpointListUpdate parse(JsonObject json) {
        try {
            List<Endpoint> endpoints = new ArrayList<>();
            JsonArray entries = json.getAsJsonArray("hosts");
            for (JsonElement entry : entries == null ? new JsonArray() : entries) {
                endpoints.add(parseEndpoint(entry.getAsJsonObject()));
            }
            return new EndpointListUpdate(
                    requiredField(json, "seq").getAsLong(),
                    requiredField(json, "whole").getAsBoolean(),
                    endpoints);
        } catch (IllegalStateException | UnsupportedOperationException | ClassCastException e) {
            throw new IllegalArgumentException("endpoint list: " + e.getMessage());
        }
    }

    private static Endpoint parseEndpoint(JsonObject json) {
        Availability availability =
                switch (requiredField(json, "health").getAsString()) {
                    case "up" -> Availability.UP;
                    case "draining" -> Availability.DRAINING;
                    case "removed" -> Availability.GONE;
                    default ->
                            throw new IllegalArgumentException(
                                    "endpoint list: health must be up, draining or removed, not "
                                            + json.get("health"));
                };
        boolean hasAddress =
                availability != Availability.GONE
                        || json.has("dial") && !json.get("dial").isJsonNull();
        InetSocketAddress address =
                hasAddress ? Addresses.parse(requiredField(json, "dial").getAsString()) : null;
        Node node =
                new Node(
                        requiredField(json, "host").getAsString(),
                        optionalText(json, "class", null),
                        optionalText(json, "site", ""),
                        (int) optionalNumber(json, "block", 0),
                        optionalNumber(json, "share", 1),
                        optionalNumber(json, "born_ms", 0),
                        availability);
        return new Endpoint(node, address);
    }

    private static JsonElement requiredField(JsonObject json, String name) {
        JsonElement value = json.get(name);
        if (value == null || value.isJsonNull()) {
            throw new IllegalArgumentException("endpoint list: " + name + " is missing");
        }
        return value;
    }

    private static String optionalText(JsonObject json, String name, String defaultValue) {
        JsonElement value = json.get(name);
        return value == null || value.isJsonNull() ? defaultValue : value.getAsString();
    }

    private static double optionalNumber(JsonObject json, String name, double defaultValue) {
        JsonElement value = json.get(name);
        return value == null || value.isJsonNull() ? defaultValue : value.getAsDouble();
    }
}
