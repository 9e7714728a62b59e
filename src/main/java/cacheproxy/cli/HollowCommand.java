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

/** {@code lab hollow}. */
@Command(
        name = "hollow",
        description =
                "Plays a scale test: many real control planes without clients, several a process, at several sizes.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all bounds hold in every run",
            "1:some fall short; each is named with figure and bound",
            "2:a bad file"
        })
final class HollowCommand implements Callable<Integer> {

    @Parameters(
            paramLabel = "FILE",
            description = "the scale test, as experiments/capacity/policy-rest.toml")
    private Path file;

    @Option(
            names = "--set",
            paramLabel = "KEY=VALUE",
            description = "another value for a key, as --set fleet.proxies=[60]")
    private Map<String, String> overrides = new LinkedHashMap<>();

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "where results and logs go (default: target/lab/NAME)")
    private Path outputDirectory;

    @Option(
            names = "--slopes",
            paramLabel = "FILE",
            defaultValue = "experiments/capacity/slopes.toml",
            description = "where slopes go (default: ${DEFAULT-VALUE})")
    private Path slopeFile;

    @Option(
            names = "--kept",
            description = "plays nothing: bounds and slopes of the results that earlier runs left")
    private boolean reuseResults;

    @Option(
            names = "--beside",
            paramLabel = "TEXT",
            defaultValue = "not said",
            description = "what else runs on the machine, kept with the slopes")
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
