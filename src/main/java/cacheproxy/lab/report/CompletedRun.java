package cacheproxy.lab.report;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Rules;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.RequestRecord;
import cacheproxy.lab.report.Results.Mark;
import cacheproxy.lab.world.Installation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The data of a completed run, supplied by its driver.
 *
 * @param levels the highest control level observed in each second
 * @param driverViolations violations found by the driver itself
 */
public record CompletedRun(
        Experiment experiment,
        String driver,
        Installation installation,
        LoadPlan load,
        Ledger ledger,
        List<RequestRecord> records,
        int[] levels,
        List<Mark> marks,
        List<Violation> driverViolations) {

    private static final int MAX_REPORTED_VIOLATIONS = 100;

    /**
     * Checks the run against all rules and computes its figures.
     *
     * @param driverFigures additional figures of the driver
     */
    public Results evaluate(Map<String, Double> driverFigures) {
        List<Violation> violations = new ArrayList<>(Rules.check(ledger, experiment));
        violations.addAll(driverViolations);
        List<Results.Window> timeline = Figures.windows(experiment, records, levels);
        Map<String, Double> figures =
                Figures.of(experiment, installation, records, ledger, violations, timeline);
        double sendDelayP99Ms = figures.get("generator.late_p99_ms");
        if (sendDelayP99Ms > experiment.load().latenessMs()) {
            violations.add(
                    new Violation(
                            Rule.GENERATOR,
                            "load",
                            0,
                            "p99 of its send delay is "
                                    + Results.formatNumber(sendDelayP99Ms)
                                    + " ms, the bound is "
                                    + Results.formatNumber(experiment.load().latenessMs())));
            figures.merge("violations.generator", 1.0, Double::sum);
            figures.merge("violations.all", 1.0, Double::sum);
        }
        figures.putAll(driverFigures);
        Experiment.Prices prices = experiment.prices();
        double requestCount = Math.max(1, figures.get("load.requests"));
        figures.put(
                "served.after_prices",
                figures.get("served.worth")
                        - prices.connection()
                                * figures.get("machines.connections_opened")
                                / requestCount
                        - prices.crossing() * figures.get("attempts.crossing_share")
                        - prices.waste() * figures.get("attempts.abandoned_work_share"));
        return new Results(
                Results.FORM_VERSION,
                experiment.name(),
                experiment.about(),
                driver,
                experiment.seed(),
                load.digest(),
                figures,
                timeline,
                marks.stream().sorted(Comparator.comparingDouble(Mark::atS)).toList(),
                violations.stream()
                        .limit(MAX_REPORTED_VIOLATIONS)
                        .map(Violation::toString)
                        .toList(),
                Results.missed(figures, experiment.expects()));
    }
}
