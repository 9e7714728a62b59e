package cacheproxy.config;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * On which line each key of a TOML text stands. The TOML library builds its tree without places,
 * and a message without a line sends its reader searching. It knows headers and plain or quoted
 * keys at the start of a line; for a key inside an inline table it has no line.
 */
final class KeyLines {

    private static final Pattern HEADER = Pattern.compile("^\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]");
    private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"'-]+?)\\s*=");

    private KeyLines() {}

    static Map<String, Integer> of(String text) {
        Map<String, Integer> lines = new HashMap<>();
        Map<String, Integer> listed = new HashMap<>();
        String table = "";
        String[] all = text.split("\n", -1);
        for (int i = 0; i < all.length; i++) {
            Matcher header = HEADER.matcher(all[i]);
            Matcher key = KEY.matcher(all[i]);
            if (header.find()) {
                table = bare(header.group(2));
                if (header.group(1).equals("[[")) {
                    table += "[" + (listed.merge(table, 1, Integer::sum) - 1) + "]";
                }
                lines.putIfAbsent(table, i + 1);
                lines.putIfAbsent(table.replaceFirst("\\[\\d+\\]$", ""), i + 1);
            } else if (key.find()) {
                String name = bare(key.group(1));
                lines.putIfAbsent(table.isEmpty() ? name : table + "." + name, i + 1);
                // A dotted key names the tables on its way too.
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

    private static String bare(String key) {
        return key.replaceAll("[\"'\\s]", "");
    }
}
