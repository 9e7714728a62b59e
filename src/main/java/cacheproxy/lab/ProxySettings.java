package cacheproxy.lab;

import cacheproxy.Router;
import cacheproxy.benchlink.SettingsReader;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Settings of a proxy in an experiment, in the format of the platform configuration. */
public final class ProxySettings {

    private static final double MS_PER_S = 1000;

    private ProxySettings() {}

    /** Returns the settings as passed to the decision module. */
    public static Router.Settings read(
            Experiment experiment,
            Installation installation,
            int proxy,
            double idleMs,
            double connectMs) {
        return SettingsReader.read(json(experiment, installation, proxy, idleMs, connectMs));
    }

    /** Converts an endpoint list entry of the simulated installation for the decision module. */
    public static Router.Node node(Installation installation, World.Entry entry) {
        Router.Availability availability =
                switch (entry.health()) {
                    case UP -> Router.Availability.UP;
                    case DRAINING -> Router.Availability.DRAINING;
                    case REMOVED -> Router.Availability.GONE;
                };
        return new Router.Node(
                entry.id(),
                entry.kind(),
                installation.zones().get(entry.zone()),
                0,
                entry.weight(),
                Math.max(0, entry.startedAt()),
                availability);
    }

    /** Returns the {@code settings} object of proxy number {@code proxy}; times are in ms. */
    public static JsonObject json(
            Experiment experiment,
            Installation installation,
            int proxy,
            double idleMs,
            double connectMs) {
        Experiment.Load load = experiment.load();
        Map<String, Object> settings = new HashMap<>();
        settings.put("rank", proxy);
        settings.put("balancers", experiment.proxies().count());
        settings.put("zone", installation.zones().get(installation.proxyZones().get(proxy)));
        settings.put("localities", installation.zones());
        settings.put("tick_ms", 5.0);
        settings.put("family", "cache");
        settings.put("discovery", "automatic");
        settings.put("value_by", "work");
        settings.put("weights", "live");
        List<String> kinds =
                new ArrayList<>(
                        experiment.fleet().kinds().stream().map(Experiment.Kind::name).toList());
        kinds.add("origin");
        settings.put("kinds", kinds);
        settings.put(
                "domain",
                Map.of(
                        "mode",
                        "aside",
                        "origin_kind",
                        kinds.size() - 1,
                        "origin_fall_multiple",
                        experiment.origin().fallMultiple(),
                        "origin_fall_ms",
                        experiment.origin().fallS() * MS_PER_S));
        settings.put("clients", Map.of("marks_retry", load.marksRetries()));
        settings.put(
                "limits",
                Map.of(
                        "cancelling",
                        true,
                        "connect_timeout_ms",
                        connectMs,
                        "idle_close_ms",
                        idleMs,
                        "max_open",
                        20_000,
                        "max_retry_after_ms",
                        load.maxRetryAfterMs(),
                        "probing",
                        experiment.gossip().enabled(),
                        "retry_after",
                        true,
                        "second_copies",
                        experiment.rules().secondCopies(),
                        "try_limit",
                        experiment.rules().attempts()));
        settings.put(
                "obligations",
                Map.of(
                        "answer_slack_ms",
                        20.0,
                        "ask_within_ms",
                        10_000.0,
                        "cold_from",
                        experiment.fleet().slowStartInitialFraction(),
                        "cold_ms",
                        experiment.fleet().slowStartMs(),
                        "fall_ms",
                        experiment.rules().coldWindowMs(),
                        "fall_multiple",
                        experiment.rules().coldMultiple(),
                        "stop_sending_within_ms",
                        experiment.rules().drainMs()));
        settings.put("report", Map.of("fields", List.of(), "how", "silent"));
        JsonArray classes = new JsonArray();
        for (Experiment.Class requestClass : load.classes()) {
            JsonObject classJson = new JsonObject();
            classJson.addProperty("name", requestClass.name());
            classJson.addProperty(
                    "effect",
                    switch (requestClass.effect()) {
                        case SAFE -> "retryable";
                        case KEYED -> "dedup";
                        case UNSAFE -> "fragile";
                    });
            classJson.addProperty("group", "all");
            classJson.addProperty("objective_ms", requestClass.aimMs());
            classJson.addProperty("deadline_ms", requestClass.deadlineMs());
            classJson.addProperty("gain", requestClass.worth());
            classJson.addProperty("repeat_window_ms", requestClass.repeatWindowMs());
            classes.add(classJson);
        }
        JsonObject json = new Gson().toJsonTree(settings).getAsJsonObject();
        json.add("services", classes);
        return json;
    }
}
