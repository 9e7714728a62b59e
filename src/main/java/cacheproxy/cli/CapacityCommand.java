package cacheproxy.cli;

import cacheproxy.config.BadFileException;
import cacheproxy.lab.capacity.Plan;
import cacheproxy.lab.capacity.Row;
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

/** The tables of {@code docs/CAPACITY.md}, for the committed target or another size. */
@Command(
        name = "capacity",
        description =
                "What each role costs at the size to plan for, worked out from measured slopes, and what is missing first.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:printed", "2:a bad file"})
final class CapacityCommand implements Callable<Integer> {

    private static final Path FOLDER = Path.of("experiments", "capacity");

    @Option(
            names = "--target",
            paramLabel = "FILE",
            defaultValue = "deploy/target.toml",
            description = "the size to plan for (default: ${DEFAULT-VALUE})")
    private Path target;

    @Option(
            names = "--set",
            paramLabel = "KEY=VALUE",
            description = "another value for a key of the target, as --set fleet.proxies=400")
    private Map<String, String> set = new LinkedHashMap<>();

    @Option(
            names = "--slopes",
            paramLabel = "FILE",
            description =
                    "measured slopes; may be given again (default: every slopes*.toml in experiments/capacity)")
    private List<Path> slopes = new ArrayList<>();

    @Option(
            names = "--rows",
            paramLabel = "FILE",
            defaultValue = "experiments/capacity/rows.toml",
            description =
                    "what each role has to bear, and what carries it (default: ${DEFAULT-VALUE})")
    private Path rows;

    @Override
    public Integer call() throws BadFileException, IOException {
        Target size = Target.read(target, set);
        List<Slope> measured = new ArrayList<>();
        for (Path file : slopes.isEmpty() ? committed() : slopes) {
            measured.addAll(SlopeFile.read(file));
        }
        System.out.print(new Plan(size, Row.read(rows, size), measured).markdown());
        return Cli.OK;
    }

    private static List<Path> committed() throws IOException {
        List<Path> files = new ArrayList<>();
        if (Files.isDirectory(FOLDER)) {
            try (DirectoryStream<Path> found = Files.newDirectoryStream(FOLDER, "slopes*.toml")) {
                found.forEach(files::add);
            }
        }
        return files.stream().sorted().toList();
    }
}
