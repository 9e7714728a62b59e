package cacheproxy.config;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line number of each key in a TOML text, for error messages: the TOML library builds its
 * tree without positions. Recognizes table headers and plain or quoted keys at the start of a line;
 * keys inside inline tables have no line number.
 */
final class KeyLineNumbers {

    private static final Pattern HEADER = Pattern.compile("^\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]");
    private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"'-]+?)\\s*=");

    private KeyLineNumbers() {}

    static Map<String, Integer> find(String text) {
        Map<String, Integer> lines = new HashMap<>();
        Map<String, Integer> arrayTableCounts = new HashMap<>();
        String table = "";
        String[] textLines = text.split("\n", -1);
        for (int i = 0; i < textLines.length; i++) {
            Matcher header = HEADER.matcher(textLines[i]);
            Matcher key = KEY.matcher(textLines[i]);
            if (header.find()) {
                table = stripQuotes(header.group(2));
                if (header.group(1).equals("[[")) {
                    table += "[" + (arrayTableCounts.merge(table, 1, Integer::sum) - 1) + "]";
                }
                lines.putIfAbsent(table, i + 1);
                lines.putIfAbsent(table.replaceFirst("\\[\\d+\\]$", ""), i + 1);
            } else if (key.find()) {
                String name = stripQuotes(key.group(1));
                lines.putIfAbsent(table.isEmpty() ? name : table + "." + name, i + 1);
                // A dotted key also defines the tables that it leads through.
                for (int dot = name.indexOf('.'); dot > 0; dot = name.indexOf('.', dot + 1)) {
                    lines.putIfAbsent(
                            table.isEmpty()
                                    ? name.substring(0, dot)
                                    : table + "." + name.substring(0, dot),
                            i + 1);
                }
            }
        }
        return lines;
    }

    private static String stripQuotes(String key) {
        return key.replaceAll("[\"'\\s]", "");
    }
}
