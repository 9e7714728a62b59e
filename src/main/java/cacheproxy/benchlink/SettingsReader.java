package cacheproxy.benchlink;

import cacheproxy.Router.Connections;
import cacheproxy.Router.Effect;
import cacheproxy.Router.Group;
import cacheproxy.Router.Limits;
import cacheproxy.Router.Rules;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import cacheproxy.Router.Tenant;
import cacheproxy.Router.Weights;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/**
 * Converts the platform's JSON settings into those of the decision module. Unknown keys are
 * ignored, absent ones get a default.
 */
public final class SettingsReader {

    private SettingsReader() {}

    static Settings read(String json) {
        try {
            return read(JsonParser.parseString(json));
        } catch (JsonParseException e) {
            throw new WireFormatException("settings: " + e.getMessage());
        }
    }

    /** Reads settings that are part of a larger document, such as a proxy's configuration. */
    public static Settings read(JsonElement json) {
        try {
            return settings(json.getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | UnsupportedOperationException
                | ClassCastException
                | NumberFormatException e) {
            throw new WireFormatException("settings: " + e.getMessage());
        }
    }

    private static Settings settings(JsonObject json) {
        return new Settings(
                (int) number(json, "rank", 0),
                (int) number(json, "balancers", 1),
                text(json, "zone", ""),
                number(json, "tick_ms", 1),
                classes(array(json, "services")),
                tenants(array(json, "customers")),
                number(json, "over_share_worth", 1),
                text(json, "value_by", "request").equals("work"),
                limits(object(json, "limits")),
                rules(object(json, "obligations")),
                text(json, "discovery", "automatic").equals("subscribe"),
                weights(text(json, "weights", "silent")),
                originModel(json),
                connections(object(json, "limits"), object(json, "tariffs")));
    }

    private static Connections connections(JsonObject limits, JsonObject tariffs) {
        return new Connections(
                number(limits, "idle_close_ms", Double.POSITIVE_INFINITY),
                number(tariffs, "connection", 0),
                number(tariffs, "handshake", 0));
    }

    private static List<ServiceClass> classes(JsonArray services) {
        List<ServiceClass> classes = new ArrayList<>();
        for (JsonElement element : services) {
            JsonObject json = element.getAsJsonObject();
            double deadline = number(json, "deadline_ms", 0);
            classes.add(
                    new ServiceClass(
                            text(json, "name", ""),
                            number(json, "objective_ms", deadline),
                            number(json, "aim_stretch", 0),
                            deadline,
                            number(json, "gain", 1),
                            number(json, "late_share", 0),
                            effect(text(json, "effect", "fragile")),
                            group(text(json, "group", "all")),
                            number(json, "repeat_window_ms", 0),
                            flag(json, "stream")));
        }
        return classes;
    }

    private static List<Tenant> tenants(JsonArray customers) {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonElement element : customers) {
            JsonObject json = element.getAsJsonObject();
            tenants.add(
                    new Tenant(
                            text(json, "name", ""), number(json, "quota_per_s", Double.MAX_VALUE)));
        }
        return tenants;
    }

    private static Limits limits(JsonObject json) {
        return new Limits(
                (int) number(json, "try_limit", 1),
                flag(json, "cancelling"),
                flag(json, "probing"),
                flag(json, "peers"),
                flag(json, "retry_after"),
                number(json, "max_retry_after_ms", 0),
                flag(json, "second_copies"),
                number(json, "connect_timeout_ms", 100));
    }

    private static Rules rules(JsonObject json) {
        return new Rules(
                number(json, "stop_sending_within_ms", 0),
                number(json, "cold_from", 1),
                number(json, "cold_ms", 0),
                number(json, "fall_multiple", 1),
                number(json, "fall_ms", 1000),
                number(json, "answer_slack_ms", 0),
                number(json, "ask_within_ms", 10000));
    }

    /**
     * Returns the model of the nodes that are the origin; null unless the proxies themselves fetch
     * from the origin.
     */
    private static String originModel(JsonObject json) {
        JsonObject domain = object(json, "domain");
        int kind = (int) number(domain, "origin_kind", -1);
        JsonArray kinds = array(json, "kinds");
        boolean aside = text(domain, "mode", "through").equals("aside");
        return aside && kind >= 0 && kind < kinds.size() ? kinds.get(kind).getAsString() : null;
    }

    private static Effect effect(String word) {
        return switch (word) {
            case "retryable" -> Effect.SAFE;
            case "dedup" -> Effect.KEYED;
            case "fragile" -> Effect.UNSAFE;
            default -> throw new WireFormatException("settings: services: unknown effect " + word);
        };
    }

    private static Group group(String word) {
        return switch (word) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw new WireFormatException("settings: services: unknown group " + word);
        };
    }

    private static Weights weights(String word) {
        return switch (word) {
            case "nominal", "rough" -> Weights.SIZE;
            case "live" -> Weights.LIVE;
            default -> Weights.NONE;
        };
    }

    private static boolean present(JsonObject json, String name) {
        return json.has(name) && !json.get(name).isJsonNull();
    }

    private static String text(JsonObject json, String name, String defaultValue) {
        return present(json, name) ? json.get(name).getAsString() : defaultValue;
    }

    private static double number(JsonObject json, String name, double defaultValue) {
        return present(json, name) ? json.get(name).getAsDouble() : defaultValue;
    }

    private static boolean flag(JsonObject json, String name) {
        return present(json, name) && json.get(name).getAsBoolean();
    }

    private static JsonObject object(JsonObject json, String name) {
        return present(json, name) ? json.getAsJsonObject(name) : new JsonObject();
    }

    private static JsonArray array(JsonObject json, String name) {
        return present(json, name) ? json.getAsJsonArray(name) : new JsonArray();
    }
}
