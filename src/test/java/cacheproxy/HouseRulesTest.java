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

/** Who may use whom; a wrong import fails the build. */
class HouseRulesTest {

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

    /** What may jump, as anybody may step the machine's wall clock. */
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

    private static void holds(ArchRule rule) {
        rule.check(CLASSES);
    }

    @Test
    void decisionsUseTheJdkAlone() {
        holds(
                noClasses()
                        .that()
                        .haveNameMatching(
                                "cacheproxy\\.(Decide|SlowStartBudget|HysteresisController|TokenBucket).*")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        holds(
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
        holds(
                noClasses()
                        .that()
                        .haveNameMatching(
                                "cacheproxy\\.(Decide|Router|SlowStartBudget|HysteresisController|TokenBucket).*")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
    }

    @Test
    void decisionPackagesUseTheJdkAlone() {
        String[] packages = {
            "cacheproxy.measure..", "cacheproxy.maintenance..", "cacheproxy.epoch.."
        };
        holds(
                noClasses()
                        .that()
                        .resideInAnyPackage(packages)
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        holds(
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
        holds(
                noClasses()
                        .that()
                        .resideInAnyPackage(packages)
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
    }

    /**
     * {@code Clock} reads it once, to compare with the host list; the laboratory decides nothing in
     * a proxy.
     */
    @Test
    void noSpanIsTakenFromTheWallClock() {
        holds(
                noClasses()
                        .that()
                        .resideOutsideOfPackage("cacheproxy.lab..")
                        .and()
                        .doNotHaveFullyQualifiedName("cacheproxy.proxy.Clock")
                        .should()
                        .accessTargetWhere(
                                describe(
                                        "the wall clock is read", HouseRulesTest::readsWallClock)));
    }

    @Test
    void theOperatorsAddressAndTheirFilesDecideNothing() {
        holds(
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
    void serveKnowsNothingOfTools() {
        holds(
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
    void gossipDecidesWithoutIoAndIsReachedByOneClass() {
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.membership..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        holds(
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
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.membership..")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.gossip..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.proxy..", "cacheproxy.lab..", "cacheproxy.cli.."));
        // Where gossip is off nothing of it may be loaded, and what the proxy's other classes name
        // is.
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.proxy..")
                        .and()
                        .haveNameNotMatching(".*\\.Sharing(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage("cacheproxy.gossip..", "cacheproxy.membership.."));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.proxy..")
                        .and()
                        .haveNameNotMatching(".*\\.Governing(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "cacheproxy.raft..", "cacheproxy.epoch..", "io.microraft.."));
    }

    @Test
    void theChangeStreamDecidesWithoutIoAndNothingOfTheProgramLoadsIt() {
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.stream")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        holds(
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
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("cacheproxy.stream")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
        holds(
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
        holds(
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
        // The policy, where it is on, needs the log alone.
        holds(
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
    void configurationKnowsNothingOfSocketsOrDecisions() {
        holds(
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
    void hollowPlanesAreWhatAProxyRunsAndNoTwins() {
        // It joins gossip and raft as they are: nothing below them, and nothing that stands in for
        // them.
        holds(
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
        holds(
                noClasses()
                        .that()
                        .resideOutsideOfPackages("cacheproxy.lab.hollow..", "cacheproxy.cli..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("cacheproxy.lab.hollow.."));
    }
}
