package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.lab.capacity.CapacityPlan;
import cacheproxy.lab.capacity.PlanRow;
import cacheproxy.lab.capacity.Slope;
import cacheproxy.lab.capacity.SlopeFile;
import cacheproxy.lab.capacity.Target;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the tables of {@code docs/CAPACITY.md}, for the committed target or another size. */
@Command(
        name = "capacity",
        description =
                "Prints what each role costs at the planned size, extrapolated from measured slopes, and what is missing: loads that nothing handles, then those furthest over budget.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:printed", "2:an invalid file"})
final class CapacityCommand implements Callable<Integer> {

    private static final Path SLOPES_DIRECTORY = Path.of("experiments", "capacity");

    @Option(
            names = "--target",
            paramLabel = "FILE",
            defaultValue = "deploy/target.toml",
            description = "the size to plan for (default: ${DEFAULT-VALUE})")
    private Path targetFile;

    @Option(
            names = "--set",
            paramLabel = "KEY=VALUE",
            description = "overrides a key of the target, as --set fleet.proxies=400")
    private Map<String, String> overrides = new LinkedHashMap<>();

    @Option(
            names = "--slopes",
            paramLabel = "FILE",
            description =
                    "measured slopes; may be repeated (default: every slopes*.toml in experiments/capacity)")
    private List<Path> slopeFiles = new ArrayList<>();

    @Option(
            names = "--rows",
            paramLabel = "FILE",
            defaultValue = "experiments/capacity/rows.toml",
            description =
                    "the load of each role, and the code that handles it (default: ${DEFAULT-VALUE})")
    private Path rowsFile;

    @Override
    public Integer call() throws BadFileException, IOException {
        Target size = Target.read(targetFile, overrides);
        List<Slope> measured = new ArrayList<>();
        for (Path file : slopeFiles.isEmpty() ? committedSlopeFiles() : slopeFiles) {
            measured.addAll(SlopeFile.read(file));
        }
        System.out.print(new CapacityPlan(size, PlanRow.read(rowsFile, size), measured).markdown());
        return Cli.OK;
    }

    private static List<Path> committedSlopeFiles() throws IOException {
        List<Path> files = new ArrayList<>();
        if (Files.isDirectory(SLOPES_DIRECTORY)) {
            try (DirectoryStream<Path> found =
                    Files.newDirectoryStream(SLOPES_DIRECTORY, "slopes*.toml")) {
                found.forEach(files::add);
            }
        }
        return files.stream().sorted().toList();
    }
}
