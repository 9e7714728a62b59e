package cacheproxy.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Toml;
import cacheproxy.epoch.Message.ProposalStatus;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.ScenarioGenerator;
import cacheproxy.lab.faults.PeerLinkFaults;
import cacheproxy.lab.ledger.PolicyLedger;
import cacheproxy.lab.report.Results;
import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Policy changes in virtual time while proxies die, pause and are cut off: scenarios generated from
 * seeds, and the hard cases. No two proxies may be current at different epochs at the same time.
 */
class PolicyScenariosTest {

    private static final String FLEET =
            """
            name = "policy"
            seed = %d
            duration_s = %d
            [fleet]
            nodes = 3
            keys = 100
            [proxies]
            count = 7
            [gossip]
            enabled = true
            [policy]
            voters = %d
            [load]
            rate = 5
            lateness_ms = 10000
            [rules]
            slack_ms = 5000
            """;

    private static Results run(long seed, int durationS, int voters, String faults)
            throws Exception {
        return new VirtualRun(
                        ExperimentFile.parse(
                                Toml.parse(
                                        "test.toml",
                                        FLEET.formatted(seed, durationS, voters) + faults)))
                .run();
    }

    private static String fault(String what, double atS, String more) {
        return String.format(
                Locale.ROOT, "[[fault]]%nwhat = \"%s\"%nat_s = %.3f%n%s%n", what, atS, more);
    }

    /**
     * Eight faults, each followed by a proposal within the duration of a lease, then fifteen
     * seconds without faults in which all proxies must become current. {@code -Dpolicy.seeds=100}
     * runs more seeds.
     */
    @Test
    void randomFaultsLeaveAllCurrentAndNoTwoCurrentAtDifferentEpochs() throws Exception {
        String[] kinds = {
            "gossip-split",
            "gossip-cut",
            "gossip-deaf",
            "proxy-stop",
            "proxy-kill",
            "leader-kill",
            "gossip-loss"
        };
        int epochs = 0;
        for (int seed = 1; seed <= Integer.getInteger("policy.seeds", 12); seed++) {
            Random random = new Random(seed);
            StringBuilder faults = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                String kind = kinds[random.nextInt(kinds.length)];
                String target =
                        random.nextInt(6) == 0
                                ? "*"
                                : random.nextInt(3) == 0 ? "40%" : "proxy-" + random.nextInt(7);
                String more =
                        String.format(Locale.ROOT, "for_s = %.3f%n", 0.2 + random.nextDouble() * 6);
                more +=
                        kind.equals("gossip-loss")
                                ? "share = 0.4"
                                : kind.equals("leader-kill") ? "" : "proxy = \"" + target + "\"";
                double at = 4 + random.nextDouble() * 24;
                faults.append(fault(kind, at, more));
                faults.append(
                        fault(
                                "policy-propose",
                                at + 0.02 + random.nextDouble() * 0.9,
                                "proxy = \"proxy-" + random.nextInt(7) + "\""));
            }
            Results results = run(seed, 50, seed % 2 == 0 ? 3 : 5, faults.toString());
            String description = "seed " + seed + ": " + results.violations() + results.figures();
            assertTrue(
                    results.violations().stream().noneMatch(v -> v.startsWith("policy")),
                    description);
            assertEquals(0, results.figures().get("policy.behind_at_end"), description);
            assertEquals(0, results.figures().get("policy.not_current_at_end"), description);
            epochs += results.figures().get("policy.epochs").intValue();
        }
        assertTrue(
                epochs > Integer.getInteger("policy.seeds", 12),
                "too few changes took effect: " + epochs);
    }

    /** A proxy that does not learn of a change still relies on its lease until that expires. */
    @Test
    void changeTakesEffectOnlyAfterLeasesOfOldEpochExpire() throws Exception {
        for (String fault : new String[] {"gossip-cut", "proxy-stop"}) {
            for (double after : new double[] {0.02, 0.1, 0.4}) {
                Results results =
                        run(
                                4,
                                30,
                                3,
                                fault(fault, 8, "proxy = \"proxy-6\"\nfor_s = 6")
                                        + fault(
                                                "policy-propose",
                                                8 + after,
                                                "proxy = \"proxy-0\""));
                assertTrue(
                        results.violations().stream().noneMatch(v -> v.startsWith("policy")),
                        fault + " " + results.violations());
                assertEquals(1, results.figures().get("policy.epochs"));
                assertEquals(0, results.figures().get("policy.not_current_at_end"));
            }
        }
        // When the proxy is cut off, two of three voters have granted it a lease; the third has not
        // and need not wait for one to expire.
        for (int third = 0; third < 3; third++) {
            Results results =
                    run(
                            4,
                            30,
                            3,
                            fault(
                                            "gossip-oneway",
                                            3,
                                            "proxy = \"proxy-6\"\npeer = \"proxy-"
                                                    + third
                                                    + "\"\nfor_s = 20")
                                    + fault("gossip-cut", 8, "proxy = \"proxy-6\"\nfor_s = 6")
                                    + fault("policy-propose", 8.05, "proxy = \"proxy-0\""));
            assertTrue(
                    results.violations().stream().noneMatch(v -> v.startsWith("policy")),
                    third + " " + results.violations());
            assertEquals(1, results.figures().get("policy.epochs"));
        }
    }

    @Test
    void leaderDeathAroundCommitAppliesChangeEverywhereOrNowhere() throws Exception {
        for (double after : new double[] {0.001, 0.01, 0.03, 0.08, 0.15, 0.3}) {
            Results results =
                    run(
                            3,
                            30,
                            5,
                            fault("policy-propose", 6, "proxy = \"proxy-6\"")
                                    + fault("leader-kill", 6 + after, "for_s = 4"));
            assertTrue(
                    results.violations().stream().noneMatch(v -> v.startsWith("policy")),
                    after + " " + results.violations());
            assertEquals(
                    0,
                    results.figures().get("policy.behind_at_end"),
                    after + " " + results.figures());
            assertEquals(0, results.figures().get("policy.not_current_at_end"));
        }
    }

    @Test
    void minoritySideRejectsChangesThatNeverTakeEffect() throws Exception {
        Results results =
                run(
                        2,
                        30,
                        5,
                        fault("gossip-split", 5, "proxy = \"30%\"\nfor_s = 10")
                                + fault("policy-propose", 9, "proxy = \"*\""));
        assertTrue(
                results.violations().stream().noneMatch(v -> v.startsWith("policy")),
                results.violations().toString());
        assertEquals(1, results.figures().get("policy.epochs"));
        assertEquals(6, results.figures().get("policy.refused"));
        assertEquals(0, results.figures().get("policy.not_current_at_end"));
    }

    @Test
    void ledgerReportsConflictingEpochsAndAppliedRefusals() throws Exception {
        Experiment experiment =
                ExperimentFile.parse(Toml.parse("test.toml", FLEET.formatted(1, 10, 3)));
        PolicyLedger ledger =
                new PolicyLedger(
                        experiment,
                        new PeerLinkFaults(
                                experiment.proxies().count(),
                                ScenarioGenerator.randomGenerator(
                                        1, ScenarioGenerator.RandomStream.GOSSIP)));
        ledger.proposalSent("x", 0);
        ledger.proposalAnswered("x", ProposalStatus.NO_MAJORITY, 10);
        ledger.becameCurrent(0, 0, 0);
        ledger.epochApplied(1, 1, "x", 50);
        ledger.becameCurrent(1, 1, 60);
        ledger.ceasedCurrent(0, 55);
        assertEquals(
                1,
                ledger.violations().size(),
                "only the refusal: the first proxy had ceased to be current");
        ledger.becameCurrent(0, 0, 70);
        assertEquals(2, ledger.violations().size());
        assertFalse(ledger.violations().get(0).toString().isEmpty());
        ledger.epochApplied(2, 1, "y", 80);
        assertEquals(3, ledger.violations().size(), "different content for one epoch number");
    }
}
