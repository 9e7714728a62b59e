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
 * A TOML file that is read key by key. Each key that a caller reads becomes a known key, and {@link
 * Table#rejectUnknownKeys} reports keys that were never read. The value and origin of every key
 * read are recorded for {@code config show}.
 */
public final class Toml {

    /**
     * A key's effective value and its origin: {@code FILE:LINE}, {@code --set} or {@code default}.
     */
    public record EffectiveValue(String key, String value, String origin) {}

    private static final int MAX_FILE_BYTES = 1 << 20;

    /**
     * The maximum edit distance to a known key at which that key is suggested, as a fraction of its
     * length.
     */
    private static final double MAX_TYPO_FRACTION = 0.5;

    private final String file;
    private final Map<String, Integer> lines;
    private final Set<String> overridden = new LinkedHashSet<>();
    private final Map<String, EffectiveValue> effective = new LinkedHashMap<>();
    private final ObjectNode root;

    private Toml(String file, ObjectNode root, Map<String, Integer> lines) {
        this.file = file;
        this.root = root;
        this.lines = lines;
    }

    /** Reads and parses a file of at most 1 MiB. */
    public static Toml read(Path file) throws BadFileException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
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
                    KeyLineNumbers.find(text));
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
     * Overrides a dotted key, as by {@code --set load.rate=400}. The value has TOML syntax; if it
     * is no valid TOML it is used as a string.
     */
    public void set(String key, String value) throws BadFileException {
        JsonNode parsed;
        try {
            parsed = new TomlMapper().readTree("v = " + value).get("v");
        } catch (JsonProcessingException e) {
            parsed = JsonNodeFactory.instance.textNode(value);
        }
        ObjectNode table = root;
        String[] path = key.split("\\.");
        for (int i = 0; i + 1 < path.length; i++) {
            JsonNode next = table.get(path[i]);
            if (next == null) {
                next = table.putObject(path[i]);
            }
            if (!(next instanceof ObjectNode inner)) {
                throw new BadFileException("--set " + key + ": " + path[i] + " is not a table");
            }
            table = inner;
        }
        table.set(path[path.length - 1], parsed);
        overridden.add(key);
    }

    public Table root() {
        return new Table(root, "");
    }

    /** Returns every value that was read, in the order of first reading. */
    public List<EffectiveValue> effective() {
        return List.copyOf(effective.values());
    }

    private String location(String path) {
        if (overridden.contains(path)) {
            return "--set";
        }
        Integer line = lines.get(path);
        // A missing key has no line, but its table may have one.
        int dot = path.lastIndexOf('.');
        line = line == null && dot > 0 ? lines.get(path.substring(0, dot)) : line;
        return line == null ? file : file + ":" + line;
    }

    private static String describe(JsonNode value) {
        return value.isObject() ? "a table" : value.isArray() ? "a list" : value.toString();
    }

    /**
     * One table of the file. Reading an absent key returns the default; every number has a minimum
     * and a maximum, both allowed.
     */
    public final class Table {

        private final ObjectNode node;
        private final String path;
        private final Set<String> knownKeys = new LinkedHashSet<>();

        private Table(ObjectNode node, String path) {
            this.node = node;
            this.path = path;
        }

        private String path(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        private JsonNode value(String key, Object defaultValue) {
            knownKeys.add(key);
            JsonNode value = node.get(key);
            String fullKey = path(key);
            if (value == null || !value.isContainerNode() || value.isArray()) {
                effective.put(
                        fullKey,
                        new EffectiveValue(
                                fullKey,
                                value == null ? String.valueOf(defaultValue) : value.toString(),
                                value == null ? "default" : location(fullKey)));
            }
            return value;
        }

        /** Returns an exception about an invalid value of one of this table's keys. */
        public BadFileException invalidValue(String key, String found, String allowed) {
            return new BadFileException(
                    location(path(key))
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

        /** Reads a finite number in the given range. */
        public double number(String key, double defaultValue, double min, double max)
                throws BadFileException {
            JsonNode value = value(key, defaultValue);
            if (value == null) {
                return defaultValue;
            }
            if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
                throw invalidValue(
                        key,
                        describe(value),
                        "a number from " + formatNumber(min) + " to " + formatNumber(max));
            }
            return value.doubleValue();
        }

        public int integer(String key, int defaultValue, int min, int max) throws BadFileException {
            JsonNode value = value(key, defaultValue);
            if (value == null) {
                return defaultValue;
            }
            if (!value.isIntegralNumber()
                    || !value.canConvertToInt()
                    || value.intValue() < min
                    || value.intValue() > max) {
                throw invalidValue(
                        key, describe(value), "a whole number from " + min + " to " + max);
            }
            return value.intValue();
        }

        public boolean bool(String key, boolean defaultValue) throws BadFileException {
            JsonNode value = value(key, defaultValue);
            if (value != null && !value.isBoolean()) {
                throw invalidValue(key, describe(value), "true or false");
            }
            return value == null ? defaultValue : value.booleanValue();
        }

        /** Reads a string that is not blank. */
        public String string(String key, String defaultValue) throws BadFileException {
            JsonNode value = value(key, defaultValue == null ? "" : defaultValue);
            if (value != null && (!value.isTextual() || value.textValue().isBlank())) {
                throw invalidValue(key, describe(value), "a text");
            }
            return value == null ? defaultValue : value.textValue();
        }

        /** Reads an enum constant, written in lower case with hyphens. */
        public <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type)
                throws BadFileException {
            JsonNode value = value(key, defaultValue == null ? "" : enumWord(defaultValue));
            if (value == null && defaultValue != null) {
                return defaultValue;
            }
            String found =
                    value == null ? "" : value.isTextual() ? value.textValue() : describe(value);
            for (E constant : type.getEnumConstants()) {
                if (enumWord(constant).equals(found)) {
                    return constant;
                }
            }
            List<String> words =
                    Arrays.stream(type.getEnumConstants()).map(Toml::enumWord).toList();
            throw invalidValue(
                    key,
                    value == null ? "nothing" : describe(value),
                    "one of " + String.join(", ", words) + nearestSuggestion(found, words));
        }

        /** Reads a list of strings. */
        public List<String> strings(String key, List<String> defaultValue) throws BadFileException {
            JsonNode value = value(key, defaultValue);
            if (value == null) {
                return defaultValue;
            }
            if (!value.isArray()
                    || StreamSupport.stream(value.spliterator(), false)
                            .anyMatch(v -> !v.isTextual())) {
                throw invalidValue(key, describe(value), "a list of texts");
            }
            return StreamSupport.stream(value.spliterator(), false)
                    .map(JsonNode::textValue)
                    .toList();
        }

        /** Reads a required list of finite numbers in the given range. */
        public List<Double> numbers(String key, double min, double max) throws BadFileException {
            JsonNode value = value(key, "");
            if (value == null
                    || !value.isArray()
                    || StreamSupport.stream(value.spliterator(), false)
                            .anyMatch(
                                    v ->
                                            !v.isNumber()
                                                    || !(v.doubleValue() >= min
                                                            && v.doubleValue() <= max))) {
                throw invalidValue(
                        key,
                        value == null ? "nothing" : value.toString(),
                        "a list of numbers from " + formatNumber(min) + " to " + formatNumber(max));
            }
            return StreamSupport.stream(value.spliterator(), false)
                    .map(JsonNode::doubleValue)
                    .toList();
        }

        /** Reads a range: one number, or a list of the minimum and the maximum. */
        public double[] range(String key, double[] defaultValue, double min, double max)
                throws BadFileException {
            JsonNode value = value(key, Arrays.toString(defaultValue));
            if (value == null) {
                return defaultValue;
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
            if (found == null || !(found[0] >= min && found[0] <= found[1] && found[1] <= max)) {
                throw invalidValue(
                        key,
                        value.toString(),
                        "a number or [least, most] from "
                                + formatNumber(min)
                                + " to "
                                + formatNumber(max));
            }
            return found;
        }

        /** Reads a table inside this one; returns an empty table if it is absent. */
        public Table table(String key) throws BadFileException {
            knownKeys.add(key);
            JsonNode value = node.get(key);
            if (value != null && !value.isObject()) {
                throw invalidValue(key, describe(value), "a table [" + path(key) + "]");
            }
            return new Table(
                    value == null ? JsonNodeFactory.instance.objectNode() : (ObjectNode) value,
                    path(key));
        }

        /** Reads the tables of an array {@code [[key]]}, in the order of the file. */
        public List<Table> tables(String key) throws BadFileException {
            knownKeys.add(key);
            JsonNode value = node.get(key);
            List<Table> tables = new ArrayList<>();
            if (value != null && !value.isArray()) {
                throw invalidValue(key, describe(value), "a list of tables [[" + path(key) + "]]");
            }
            for (JsonNode element : value == null ? JsonNodeFactory.instance.arrayNode() : value) {
                if (!element.isObject()) {
                    throw invalidValue(
                            key, describe(element), "a list of tables [[" + path(key) + "]]");
                }
                tables.add(new Table((ObjectNode) element, path(key) + "[" + tables.size() + "]"));
            }
            return tables;
        }

        /** Throws if the table has a key that was never read; suggests the nearest known key. */
        public void rejectUnknownKeys() throws BadFileException {
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                if (!knownKeys.contains(entry.getKey())) {
                    throw new BadFileException(
                            location(path(entry.getKey()))
                                    + ": "
                                    + path(entry.getKey())
                                    + ": unknown key, allowed is "
                                    + String.join(", ", knownKeys)
                                    + nearestSuggestion(entry.getKey(), List.copyOf(knownKeys)));
                }
            }
        }
    }

    static String enumWord(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? String.valueOf((long) number)
                : String.valueOf(number);
    }

    private static String nearestSuggestion(String found, List<String> known) {
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
                        .filter(e -> e.getValue() <= MAX_TYPO_FRACTION * e.getKey().length())
                        .min(
                                Map.Entry.<String, Integer>comparingByValue()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(Map.Entry::getKey)
                        .orElse("");
        return best.isEmpty() ? "" : " (nearest: " + best + ")";
    }
}
