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

/** What a proxy of an experiment is told of its site, in the platform's words. */
public final class ProxySettings {

    private static final double MS_PER_S = 1000;

    private ProxySettings() {}

    /** The same as the decision module is given them. */
    public static Router.Settings read(
            Experiment experiment, Installation plan, int proxy, double idleMs, double connectMs) {
        return SettingsReader.read(json(experiment, plan, proxy, idleMs, connectMs));
    }

    /** An entry of the world's list as the decision module is told it. */
    public static Router.Node node(Installation plan, World.Entry e) {
        Router.Availability availability =
                switch (e.health()) {
                    case UP -> Router.Availability.UP;
                    case DRAINING -> Router.Availability.DRAINING;
                    case REMOVED -> Router.Availability.GONE;
                };
        return new Router.Node(
                e.id(),
                e.kind(),
                plan.zones().get(e.zone()),
                0,
                e.weight(),
                Math.max(0, e.startedAt()),
                availability);
    }

    /** The {@code settings} object of proxy number {@code proxy}; times in ms. */
    public static JsonObject json(
            Experiment experiment, Installation plan, int proxy, double idleMs, double connectMs) {
        Experiment.Load asks = experiment.load();
        Map<String, Object> s = new HashMap<>();
        s.put("rank", proxy);
        s.put("balancers", experiment.proxies().count());
        s.put("zone", plan.zones().get(plan.proxyZones().get(proxy)));
        s.put("localities", plan.zones());
        s.put("tick_ms", 5.0);
        s.put("family", "cache");
        s.put("discovery", "automatic");
        s.put("value_by", "work");
        s.put("weights", "live");
        List<String> kinds =
                new ArrayList<>(
                        experiment.fleet().kinds().stream().map(Experiment.Kind::name).toList());
        kinds.add("origin");
        s.put("kinds", kinds);
        s.put(
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
        s.put("clients", Map.of("marks_retry", asks.marksRetries()));
        s.put(
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
                        asks.maxRetryAfterMs(),
                        "probing",
                        experiment.gossip().enabled(),
                        "retry_after",
                        true,
                        "second_copies",
                        experiment.rules().secondCopies(),
                        "try_limit",
                        experiment.rules().attempts()));
        s.put(
                "obligations",
                Map.of(
                        "answer_slack_ms",
                        20.0,
                        "ask_within_ms",
                        10_000.0,
                        "cold_from",
                        experiment.fleet().coldFrom(),
                        "cold_ms",
                        experiment.fleet().coldMs(),
                        "fall_ms",
                        experiment.rules().coldWindowMs(),
                        "fall_multiple",
                        experiment.rules().coldMultiple(),
                        "stop_sending_within_ms",
                        experiment.rules().drainMs()));
        s.put("report", Map.of("fields", List.of(), "how", "silent"));
        JsonArray classes = new JsonArray();
        for (Experiment.Class c : asks.classes()) {
            JsonObject o = new JsonObject();
            o.addProperty("name", c.name());
            o.addProperty(
                    "effect",
                    switch (c.effect()) {
                        case SAFE -> "retryable";
                        case KEYED -> "dedup";
                        case UNSAFE -> "fragile";
                    });
            o.addProperty("group", "all");
            o.addProperty("objective_ms", c.aimMs());
            o.addProperty("deadline_ms", c.deadlineMs());
            o.addProperty("gain", c.worth());
            o.addProperty("repeat_window_ms", c.repeatWindowMs());
            classes.add(o);
        }
        JsonObject json = new Gson().toJsonTree(s).getAsJsonObject();
        json.add("services", classes);
        return json;
    }
}
