package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.gossip.KeyException;
import cacheproxy.lab.hollow.ScaleTest;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code lab hollow} command, which runs a scale test. */
@Command(
        name = "hollow",
        description =
                "Runs a scale test: many real control planes without clients, several per process, at several sizes.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all bounds are met in every run",
            "1:some bounds are missed; each is listed with figure and bound",
            "2:an invalid file"
        })
final class HollowCommand implements Callable<Integer> {

    @Parameters(
            paramLabel = "FILE",
            description = "the scale test, as experiments/capacity/policy-rest.toml")
    private Path file;

    @Option(
            names = "--set",
            paramLabel = "KEY=VALUE",
            description = "overrides a key, as --set fleet.proxies=[60]")
    private Map<String, String> overrides = new LinkedHashMap<>();

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "directory for results and logs (default: target/lab/NAME)")
    private Path outputDirectory;

    @Option(
            names = "--slopes",
            paramLabel = "FILE",
            defaultValue = "experiments/capacity/slopes.toml",
            description = "file for the slopes (default: ${DEFAULT-VALUE})")
    private Path slopeFile;

    @Option(
            names = "--kept",
            description =
                    "runs nothing: computes bounds and slopes from the results of earlier runs")
    private boolean reuseResults;

    @Option(
            names = "--beside",
            paramLabel = "TEXT",
            defaultValue = "not said",
            description = "what else runs on the machine; stored with the slopes")
    private String machineLoad;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException, KeyException {
        ScaleTest test = new ScaleTest(file, overrides, machineLoad);
        return test.run(
                        outputDirectory == null
                                ? Path.of("target", "lab", test.name())
                                : outputDirectory,
                        slopeFile,
                        reuseResults,
                        System.out)
                ? Cli.OK
                : Cli.FAILED;
    }
}
