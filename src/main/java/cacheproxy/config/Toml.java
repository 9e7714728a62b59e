package cacheproxy.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * A TOML file that is read key by key: each key that is asked for is known from then on, and {@link
 * Table#done} refuses what nobody asked for. Every value read is kept with where it came from, for
 * {@code config show}.
 */
public final class Toml {

    /**
     * A key's effective value and its origin: {@code FILE:LINE}, {@code --set} or {@code default}.
     */
    public record Effective(String key, String value, String from) {}

    private static final int MAX_BYTES = 1 << 20;

    /** A known key that differs by more than this part of its length is no likely slip. */
    private static final double SLIP = 0.5;

    private final String file;
    private final Map<String, Integer> lines;
    private final Set<String> overridden = new LinkedHashSet<>();
    private final Map<String, Effective> effective = new LinkedHashMap<>();
    private final ObjectNode root;

    private Toml(String file, ObjectNode root, Map<String, Integer> lines) {
        this.file = file;
        this.root = root;
        this.lines = lines;
    }

    /** Reads and parses; at most 1 MiB. */
    public static Toml read(Path file) throws BadFileException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new BadFileException(file + ": larger than 1 MiB");
            }
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new BadFileException(
                    file
                            + ": cannot be read"
                            + (Files.exists(file)
                                    ? ": " + e.getClass().getSimpleName()
                                    : ": no such file"));
        }
    }

    public static Toml parse(String file, String text) throws BadFileException {
        try {
            JsonNode root = new TomlMapper().readTree(text);
            return new Toml(
                    file,
                    root instanceof ObjectNode o ? o : JsonNodeFactory.instance.objectNode(),
                    KeyLines.of(text));
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null ? "" : ":" + e.getLocation().getLineNr();
            throw new BadFileException(
                    file
                            + where
                            + ": not TOML: "
                            + e.getOriginalMessage().lines().findFirst().orElse("malformed"));
        }
    }

    /**
     * Sets a dotted key from outside the file, as by {@code --set load.rate=400}; the value is
     * written as in TOML.
     */
    public void set(String key, String value) throws BadFileException {
        JsonNode parsed;
        try {
            parsed = new TomlMapper().readTree("v = " + value).get("v");
        } catch (JsonProcessingException e) {
            parsed = JsonNodeFactory.instance.textNode(value);
        }
        ObjectNode table = root;
        String[] steps = key.split("\\.");
        for (int i = 0; i + 1 < steps.length; i++) {
            JsonNode next = table.get(steps[i]);
            if (next == null) {
                next = table.putObject(steps[i]);
            }
            if (!(next instanceof ObjectNode inner)) {
                throw new BadFileException("--set " + key + ": " + steps[i] + " is no table");
            }
            table = inner;
        }
        table.set(steps[steps.length - 1], parsed);
        overridden.add(key);
    }

    public Table root() {
        return new Table(root, "");
    }

    /** Every value that was asked for, in the order of asking. */
    public List<Effective> effective() {
        return List.copyOf(effective.values());
    }

    private String place(String path) {
        if (overridden.contains(path)) {
            return "--set";
        }
        Integer line = lines.get(path);
        // What is missing has no line of its own, but its table has one.
        int dot = path.lastIndexOf('.');
        line = line == null && dot > 0 ? lines.get(path.substring(0, dot)) : line;
        return line == null ? file : file + ":" + line;
    }

    private static String shown(JsonNode value) {
        return value.isObject() ? "a table" : value.isArray() ? "a list" : value.toString();
    }

    /**
     * One table of the file. Reading a key that is absent gives its default; every number has
     * bounds.
     */
    public final class Table {

        private final ObjectNode node;
        private final String path;
        private final Set<String> known = new LinkedHashSet<>();

        private Table(ObjectNode node, String path) {
            this.node = node;
            this.path = path;
        }

        private String path(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        private JsonNode value(String key, Object absent) {
            known.add(key);
            JsonNode value = node.get(key);
            String full = path(key);
            if (value == null || !value.isContainerNode() || value.isArray()) {
                effective.put(
                        full,
                        new Effective(
                                full,
                                value == null ? String.valueOf(absent) : value.toString(),
                                value == null ? "default" : place(full)));
            }
            return value;
        }

        /** A mistake at one of this table's keys. */
        public BadFileException bad(String key, String found, String allowed) {
            return new BadFileException(
                    place(path(key))
                            + ": "
                            + path(key)
                            + ": found "
                            + found
                            + ", allowed is "
                            + allowed);
        }

        public boolean has(String key) {
            return node.has(key);
        }

        /** A finite number between two bounds, both allowed. */
        public double number(String key, double absent, double least, double most)
                throws BadFileException {
            JsonNode value = value(key, absent);
            if (value == null) {
                return absent;
            }
            if (!value.isNumber()
                    || !(value.doubleValue() >= least && value.doubleValue() <= most)) {
                throw bad(
                        key, shown(value), "a number from " + plain(least) + " to " + plain(most));
            }
            return value.doubleValue();
        }

        public int whole(String key, int absent, int least, int most) throws BadFileException {
            JsonNode value = value(key, absent);
            if (value == null) {
                return absent;
            }
            if (!value.isIntegralNumber()
                    || !value.canConvertToInt()
                    || value.intValue() < least
                    || value.intValue() > most) {
                throw bad(key, shown(value), "a whole number from " + least + " to " + most);
            }
            return value.intValue();
        }

        public boolean flag(String key, boolean absent) throws BadFileException {
            JsonNode value = value(key, absent);
            if (value != null && !value.isBoolean()) {
                throw bad(key, shown(value), "true or false");
            }
            return value == null ? absent : value.booleanValue();
        }

        /** A text that is not blank. */
        public String text(String key, String absent) throws BadFileException {
            JsonNode value = value(key, absent == null ? "" : absent);
            if (value != null && (!value.isTextual() || value.textValue().isBlank())) {
                throw bad(key, shown(value), "a text");
            }
            return value == null ? absent : value.textValue();
        }

        /** One of an enum's words, in lower case with hyphens. */
        public <E extends Enum<E>> E choice(String key, E absent, Class<E> type)
                throws BadFileException {
            JsonNode value = value(key, absent == null ? "" : word(absent));
            if (value == null && absent != null) {
                return absent;
            }
            String found =
                    value == null ? "" : value.isTextual() ? value.textValue() : shown(value);
            for (E e : type.getEnumConstants()) {
                if (word(e).equals(found)) {
                    return e;
                }
            }
            List<String> words = Arrays.stream(type.getEnumConstants()).map(Toml::word).toList();
            throw bad(
                    key,
                    value == null ? "nothing" : shown(value),
                    "one of " + String.join(", ", words) + nearest(found, words));
        }

        /** A list of texts. */
        public List<String> texts(String key, List<String> absent) throws BadFileException {
            JsonNode value = value(key, absent);
            if (value == null) {
                return absent;
            }
            if (!value.isArray()
                    || StreamSupport.stream(value.spliterator(), false)
                            .anyMatch(v -> !v.isTextual())) {
                throw bad(key, shown(value), "a list of texts");
            }
            return StreamSupport.stream(value.spliterator(), false)
                    .map(JsonNode::textValue)
                    .toList();
        }

        /** A list of finite numbers between two bounds, both allowed; it must be there. */
        public List<Double> numbers(String key, double least, double most) throws BadFileException {
            JsonNode value = value(key, "");
            if (value == null
                    || !value.isArray()
                    || StreamSupport.stream(value.spliterator(), false)
                            .anyMatch(
                                    v ->
                                            !v.isNumber()
                                                    || !(v.doubleValue() >= least
                                                            && v.doubleValue() <= most))) {
                throw bad(
                        key,
                        value == null ? "nothing" : value.toString(),
                        "a list of numbers from " + plain(least) + " to " + plain(most));
            }
            return StreamSupport.stream(value.spliterator(), false)
                    .map(JsonNode::doubleValue)
                    .toList();
        }

        /** A range: one number, or a list of the least and the most. */
        public double[] range(String key, double[] absent, double least, double most)
                throws BadFileException {
            JsonNode value = value(key, Arrays.toString(absent));
            if (value == null) {
                return absent;
            }
            double[] found =
                    value.isNumber()
                            ? new double[] {value.doubleValue(), value.doubleValue()}
                            : value.isArray()
                                            && value.size() == 2
                                            && value.get(0).isNumber()
                                            && value.get(1).isNumber()
                                    ? new double[] {
                                        value.get(0).doubleValue(), value.get(1).doubleValue()
                                    }
                                    : null;
            if (found == null || !(found[0] >= least && found[0] <= found[1] && found[1] <= most)) {
                throw bad(
                        key,
                        value.toString(),
                        "a number or [least, most] from " + plain(least) + " to " + plain(most));
            }
            return found;
        }

        /** A table below this one; empty where it is absent. */
        public Table table(String key) throws BadFileException {
            known.add(key);
            JsonNode value = node.get(key);
            if (value != null && !value.isObject()) {
                throw bad(key, shown(value), "a table [" + path(key) + "]");
            }
            return new Table(
                    value == null ? JsonNodeFactory.instance.objectNode() : (ObjectNode) value,
                    path(key));
        }

        /** The tables of a list {@code [[key]]}, in the file's order. */
        public List<Table> tables(String key) throws BadFileException {
            known.add(key);
            JsonNode value = node.get(key);
            List<Table> tables = new ArrayList<>();
            if (value != null && !value.isArray()) {
                throw bad(key, shown(value), "a list of tables [[" + path(key) + "]]");
            }
            for (JsonNode element : value == null ? JsonNodeFactory.instance.arrayNode() : value) {
                if (!element.isObject()) {
                    throw bad(key, shown(element), "a list of tables [[" + path(key) + "]]");
                }
                tables.add(new Table((ObjectNode) element, path(key) + "[" + tables.size() + "]"));
            }
            return tables;
        }

        /** Refuses keys that nobody asked for, naming the known one that is nearest. */
        public void done() throws BadFileException {
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                if (!known.contains(entry.getKey())) {
                    throw new BadFileException(
                            place(path(entry.getKey()))
                                    + ": "
                                    + path(entry.getKey())
                                    + ": unknown key, allowed is "
                                    + String.join(", ", known)
                                    + nearest(entry.getKey(), List.copyOf(known)));
                }
            }
        }
    }

    static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? String.valueOf((long) number)
                : String.valueOf(number);
    }

    private static String nearest(String found, List<String> known) {
        LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
        String best =
                known.stream()
                        .collect(
                                Collectors.toMap(
                                        k -> k,
                                        k -> distance.apply(found, k),
                                        (a, b) -> a,
                                        HashMap::new))
                        .entrySet()
                        .stream()
                        .filter(e -> e.getValue() <= SLIP * e.getKey().length())
                        .min(
                                Map.Entry.<String, Integer>comparingByValue()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(Map.Entry::getKey)
                        .orElse("");
        return best.isEmpty() ? "" : " (nearest: " + best + ")";
    }
}
