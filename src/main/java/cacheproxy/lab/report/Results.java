package cacheproxy.lab.report;

import cacheproxy.config.BadFileException;
import cacheproxy.lab.Experiment;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The results of a run, as written to {@code results.json}. The format is versioned; a later
 * version adds fields and keeps these. The names of the components are the names of the fields.
 *
 * @param form 1
 * @param experiment its name
 * @param driver {@code sockets} or {@code virtual}
 * @param seed the seed from which the installation, load and faults were generated
 * @param load SHA-256 of the planned load
 * @param figures every figure by its dotted name, sorted
 * @param timeline a window for each second of the run, by the planned time of the requests
 * @param marks faults and other events with their times
 * @param violations broken rules with their proof; at most the first hundred
 * @param missed bounds that are not met
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record Results(
        int form,
        String experiment,
        String about,
        String driver,
        long seed,
        String load,
        Map<String, Double> figures,
        List<Window> timeline,
        List<Mark> marks,
        List<String> violations,
        List<String> missed) {

    /** Version of the format of {@code results.json}. */
    public static final int FORM_VERSION = 1;

    /**
     * One second of a run: the requests planned for it and their outcomes, the highest control
     * level observed, and the maximum send delay of the load generator. Latencies are in ms.
     */
    public record Window(
            int s,
            int asked,
            int served,
            int refused,
            int failed,
            double worthAsked,
            double worthServed,
            double p50Ms,
            double p99Ms,
            int level,
            double lateMaxMs) {}

    /** An event at a time of the run. */
    public record Mark(double atS, String what) {}

    private static final ObjectMapper JSON =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    /**
     * Returns the bounds that are not met, each with figure and bound. The bounds of a figure that
     * the run does not have count as not met.
     */
    public static List<String> missed(
            Map<String, Double> figures, List<Experiment.Expect> expects) {
        List<String> missed = new ArrayList<>();
        for (Experiment.Expect expect : expects) {
            Double value = figures.get(expect.figure());
            if (value == null || !(value >= expect.min() && value <= expect.max())) {
                missed.add(
                        expect.figure()
                                + " is "
                                + (value == null ? "not a figure of this run" : formatNumber(value))
                                + ", expected "
                                + (Double.isInfinite(expect.min())
                                        ? "at most " + formatNumber(expect.max())
                                        : Double.isInfinite(expect.max())
                                                ? "at least " + formatNumber(expect.min())
                                                : formatNumber(expect.min())
                                                        + " to "
                                                        + formatNumber(expect.max())));
            }
        }
        return List.copyOf(missed);
    }

    /** Whether every bound is met and no rule was broken. */
    public boolean passed() {
        return missed.isEmpty() && violations.isEmpty();
    }

    public String json() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not write the results as JSON", e);
        }
    }

    public void write(Path file) throws IOException {
        Files.writeString(file, json() + "\n");
    }

    public static Results read(Path file) throws BadFileException {
        try {
            Results results = JSON.readValue(Files.readString(file), Results.class);
            if (results.form() != FORM_VERSION) {
                throw new BadFileException(
                        file + ": found form " + results.form() + ", supported is " + FORM_VERSION);
            }
            return results;
        } catch (IOException e) {
            throw new BadFileException(
                    file
                            + ": not readable as results: "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * Formats a number: without decimals if it is whole, else with one decimal from 100 on and four
     * below; "none" for NaN.
     */
    public static String formatNumber(double number) {
        return Double.isNaN(number)
                ? "none"
                : number == Math.rint(number) && Math.abs(number) < 1e9
                        ? String.valueOf((long) number)
                        : String.format(
                                Locale.ROOT, Math.abs(number) >= 100 ? "%.1f" : "%.4f", number);
    }
}
