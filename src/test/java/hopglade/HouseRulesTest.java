package hopglade;

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
                    .importPackages("hopglade");
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
                                "hopglade\\.(Decide|SlowStartBudget|HysteresisController|TokenBucket).*")
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
                                "hopglade.proxy..",
                                "hopglade.config..",
                                "hopglade.lab..",
                                "hopglade.cli..",
                                "io.netty.."));
        holds(
                noClasses()
                        .that()
                        .haveNameMatching(
                                "hopglade\\.(Decide|Router|SlowStartBudget|HysteresisController|TokenBucket).*")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
    }

    @Test
    void decisionPackagesUseTheJdkAlone() {
        String[] packages = {"hopglade.measure..", "hopglade.maintenance..", "hopglade.epoch.."};
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
                                "hopglade.proxy..",
                                "hopglade.lab..",
                                "hopglade.config..",
                                "hopglade.admin..",
                                "hopglade.store..",
                                "hopglade.raft..",
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
                        .resideOutsideOfPackage("hopglade.lab..")
                        .and()
                        .doNotHaveFullyQualifiedName("hopglade.proxy.Clock")
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
                        .resideInAnyPackage("hopglade.admin..", "hopglade.store..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade",
                                "hopglade.proxy..",
                                "hopglade.lab..",
                                "hopglade.cli.."));
    }

    @Test
    void serveKnowsNothingOfTools() {
        holds(
                noClasses()
                        .that()
                        .resideInAnyPackage("hopglade.proxy..", "hopglade.benchlink..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade.cli..",
                                "hopglade.lab..",
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
                        .resideInAPackage("hopglade.membership..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.membership..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade.proxy..",
                                "hopglade.gossip..",
                                "hopglade.lab..",
                                "hopglade.config.."));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.membership..")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.gossip..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade.proxy..", "hopglade.lab..", "hopglade.cli.."));
        // Where gossip is off nothing of it may be loaded, and what the proxy's other classes name
        // is.
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.proxy..")
                        .and()
                        .haveNameNotMatching(".*\\.Sharing(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage("hopglade.gossip..", "hopglade.membership.."));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.proxy..")
                        .and()
                        .haveNameNotMatching(".*\\.Governing(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade.raft..", "hopglade.epoch..", "io.microraft.."));
    }

    @Test
    void theChangeStreamDecidesWithoutIoAndNothingOfTheProgramLoadsIt() {
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.stream")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(CLOCKS_SOCKETS_THREADS));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.stream")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade",
                                "hopglade.stream.wire..",
                                "hopglade.proxy..",
                                "hopglade.raft..",
                                "hopglade.lab..",
                                "hopglade.config..",
                                "hopglade.store..",
                                "io.microraft.."));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.stream")
                        .should()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis"));
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.stream.wire..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade",
                                "hopglade.proxy..",
                                "hopglade.lab..",
                                "hopglade.cli.."));
        holds(
                noClasses()
                        .that()
                        .resideOutsideOfPackages(
                                "hopglade.stream..",
                                "hopglade.raft..",
                                "hopglade.lab..",
                                "hopglade.cli..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("hopglade.stream.."));
        // The policy, where it is on, needs the log alone.
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.raft")
                        .and()
                        .haveNameNotMatching(".*\\.Stream(Log|Service)(\\$.*)?")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("hopglade.stream.wire.."));
    }

    @Test
    void configurationKnowsNothingOfSocketsOrDecisions() {
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.config..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade",
                                "hopglade.proxy..",
                                "hopglade.lab..",
                                "hopglade.cli..",
                                "io.netty.."));
    }

    @Test
    void hollowPlanesAreWhatAProxyRunsAndNoTwins() {
        // It joins gossip and raft as they are: nothing below them, and nothing that stands in for
        // them.
        holds(
                noClasses()
                        .that()
                        .resideInAPackage("hopglade.lab.hollow..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "hopglade.proxy..",
                                "hopglade.lab.virtual..",
                                "hopglade.lab.sockets..",
                                "hopglade.membership..",
                                "hopglade.epoch..",
                                "io.microraft.."));
        holds(
                noClasses()
                        .that()
                        .resideOutsideOfPackages("hopglade.lab.hollow..", "hopglade.cli..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("hopglade.lab.hollow.."));
    }
}
