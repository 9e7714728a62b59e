package cacheproxy.benchlink;

import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the space-separated values of one line, in order. */
final class LineFields {

    private final String line;
    private int position;

    LineFields(String line) {
        this.line = line;
    }

    /** Returns the next value as a string. */
    String text() {
        if (position >= line.length()) {
            throw new WireFormatException("line too short: " + line);
        }
        int end = line.indexOf(' ', position);
        end = end < 0 ? line.length() : end;
        String value = line.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw new WireFormatException("empty value in line: " + line);
        }
        return value;
    }

    /** Returns the next value as a string; null if it is "-", which stands for an absent value. */
    String optional() {
        String value = text();
        return value.equals("-") ? null : value;
    }

    /** Returns the rest of the line. */
    String rest() {
        if (position >= line.length()) {
            throw new WireFormatException("line too short: " + line);
        }
        String value = line.substring(position);
        position = line.length();
        return value;
    }

    int integer() {
        return (int) longValue(text());
    }

    long longOr(long defaultValue) {
        String value = optional();
        return value == null ? defaultValue : longValue(value);
    }

    double number() {
        return numberValue(text());
    }

    double numberOr(double defaultValue) {
        String value = optional();
        return value == null ? defaultValue : numberValue(value);
    }

    boolean flag() {
        String value = text();
        if (!value.equals("0") && !value.equals("1")) {
            throw new WireFormatException("flag is not 0 or 1 in line: " + line);
        }
        return value.equals("1");
    }

    /** Returns the next value as name:value pairs, without those whose value is no number. */
    Map<String, Double> pairs() {
        String value = optional();
        Map<String, Double> pairs = new LinkedHashMap<>();
        if (value == null) {
            return pairs;
        }
        for (String pair : value.split(",")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                try {
                    pairs.put(pair.substring(0, colon), Double.valueOf(pair.substring(colon + 1)));
                } catch (NumberFormatException e) {
                    continue;
                }
            }
        }
        return pairs;
    }

    /** Checks that the line has no further values. */
    void end() {
        if (position < line.length()) {
            throw new WireFormatException("line too long: " + line);
        }
    }

    private long longValue(String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireFormatException("'" + value + "' is not an integer in line: " + line);
        }
    }

    private double numberValue(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireFormatException("'" + value + "' is not a number in line: " + line);
        }
    }
}
