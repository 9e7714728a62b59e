package cacheproxy;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the allowed dependencies between packages; a forbidden one fails the build. */
class ArchitectureRulesTest {

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("cacheproxy");
    private static final String[] CLOCKS_SOCKETS_THREADS = {
        "java.io..",
        "java.net..",
        "java.nio.channels..",
        "java.nio.file..",
        "java.util.concurrent..",
        "org.slf4j..",
        "io.netty.."
    };

    /** Calls that depend on the wall clock, which jumps when it is set. */
    private static final Set<String> WALL_CLOCK =
            Set.of(
                    "java.lang.System.currentTimeMillis",
                    "java.time.Instant.now",
                    "java.time.LocalDateTime.now",
                    "java.time.ZonedDateTime.now",
                    "java.time.OffsetDateTime.now",
                    "java.time.Clock.systemUTC",
                    "java.time.Clock.systemDefaultZone",
                    "java.util.Date.<init>",
                    "java.util.concurrent.locks.LockSupport.parkUntil",
                    "java.util.concurrent.locks.Condition.awaitUntil",
                    "java.nio.file.Files.getLastModifiedTime");

    private static boolean readsWallClock(JavaAccess<?> access) {
        return WALL_CLOCK.contains(access.getTargetOwner().getName() + "." + access.getName());
    }

    private static void check(ArchRule rule) {
        rule.check(CLASSES);
    }

    @Test
    void decisionModuleUsesOnlyTheJdk() {
        check(
                noClasses()
                        .that()
                        .haveNameMatching(
                                "cacheproxy\\.(DecisionModule|SlowStartBudget|HysteresisController|TokenBucket).*")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        check(
                noClasses()
                        .that()
                        .haveSimpleName("Router")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.proxy..",
                                "cacheproxy.config..",
                                "cacheproxy.lab..",
                                "cacheproxy.cli..",
                                "io.netty.."));
        check(
                noClasses()
                        .that()
                        .haveNameMatching(
                                "cacheproxy\\.(DecisionModule|Router|SlowStartBudget|HysteresisController|TokenBucket).*")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
    }

    @Test
    void decisionPackagesUseOnlyTheJdk() {
        String[] packages = {
            "cacheproxy.measure..", "cacheproxy.maintenance..", "cacheproxy.epoch.."
        };
        check(
                noClasses()
                        .that()
                        .resideInAnyPackage(packages)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        check(
                noClasses()
                        .that()
                        .resideInAnyPackage(packages)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.proxy..",
                                "cacheproxy.lab..",
                                "cacheproxy.config..",
                                "cacheproxy.admin..",
                                "cacheproxy.store..",
                                "cacheproxy.raft..",
                                "io.microraft.."));
        check(
                noClasses()
                        .that()
                        .resideInAnyPackage(packages)
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
    }

    /**
     * Two exceptions: {@code Clock} reads the wall clock once, to compare start times in the
     * endpoint list with it, and the laboratory makes no decisions in a proxy.
     */
    @Test
    void durationsAreNotTakenFromTheWallClock() {
        check(
                noClasses()
                        .that()
                        .resideOutsideOfPackage("cacheproxy.lab..")
                        .and()
                        .doNotHaveFullyQualifiedName("cacheproxy.proxy.Clock")
                        .should()
                        .accessTargetWhere(
                                describe(
                                        "the wall clock is read",
                                        ArchitectureRulesTest::readsWallClock)));
    }

    @Test
    void adminAndStoreDoNotDependOnDecisions() {
        check(
                noClasses()
                        .that()
                        .resideInAnyPackage("cacheproxy.admin..", "cacheproxy.store..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy",
                                "cacheproxy.proxy..",
                                "cacheproxy.lab..",
                                "cacheproxy.cli.."));
    }

    @Test
    void serveDoesNotDependOnTools() {
        check(
                noClasses()
                        .that()
                        .resideInAnyPackage("cacheproxy.proxy..", "cacheproxy.benchlink..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.cli..",
                                "cacheproxy.lab..",
                                "picocli..",
                                "com.fasterxml..",
                                "ch.qos.logback..",
                                "org.jfree..",
                                "org.HdrHistogram..",
                                "org.apache.commons.."));
    }

    @Test
    void gossipLogicDoesNoIoAndIsUsedByOneClass() {
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.membership..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.membership..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.proxy..",
                                "cacheproxy.gossip..",
                                "cacheproxy.lab..",
                                "cacheproxy.config.."));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.membership..")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.gossip..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.proxy..", "cacheproxy.lab..", "cacheproxy.cli.."));
        // While gossip is disabled, none of its classes may be loaded. Classes that other classes
        // of the proxy refer to would be.
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.proxy..")
                        .and()
                        .haveNameNotMatching(".*\\.GossipIntegration(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage("cacheproxy.gossip..", "cacheproxy.membership.."));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.proxy..")
                        .and()
                        .haveNameNotMatching(".*\\.PolicyIntegration(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.raft..", "cacheproxy.epoch..", "io.microraft.."));
    }

    @Test
    void changeStreamLogicDoesNoIoAndIsNotLoadedByTheProxy() {
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.stream")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.stream")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy",
                                "cacheproxy.stream.wire..",
                                "cacheproxy.proxy..",
                                "cacheproxy.raft..",
                                "cacheproxy.lab..",
                                "cacheproxy.config..",
                                "cacheproxy.store..",
                                "io.microraft.."));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.stream")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.stream.wire..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy",
                                "cacheproxy.proxy..",
                                "cacheproxy.lab..",
                                "cacheproxy.cli.."));
        check(
                noClasses()
                        .that()
                        .resideOutsideOfPackages(
                                "cacheproxy.stream..",
                                "cacheproxy.raft..",
                                "cacheproxy.lab..",
                                "cacheproxy.cli..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("cacheproxy.stream.."));
        // The policy, where it is enabled, needs only the Raft log.
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.raft")
                        .and()
                        .haveNameNotMatching(".*\\.Stream(Log|Service)(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("cacheproxy.stream.wire.."));
    }

    @Test
    void configurationDoesNotDependOnSocketsOrDecisions() {
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.config..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy",
                                "cacheproxy.proxy..",
                                "cacheproxy.lab..",
                                "cacheproxy.cli..",
                                "io.netty.."));
    }

    @Test
    void hollowControlPlanesUseProductionClasses() {
        // The package uses the production gossip and Raft classes, neither their internals nor
        // simulated replacements.
        check(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.lab.hollow..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.proxy..",
                                "cacheproxy.lab.virtual..",
                                "cacheproxy.lab.sockets..",
                                "cacheproxy.membership..",
                                "cacheproxy.epoch..",
                                "io.microraft.."));
        check(
                noClasses()
                        .that()
                        .resideOutsideOfPackages("cacheproxy.lab.hollow..", "cacheproxy.cli..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("cacheproxy.lab.hollow.."));
    }
}
