package cacheproxy.lab;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Files;
import java.nio.file.Path;

/** The command that starts one proxy, and the folder it is started from. */
public record RunLine(Path root, String run) {

    private static final String DEPLOY = "deploy/balancer.toml";

    /**
     * Looks for deploy/balancer.toml in a folder and above it; {@code run} stands in for its line
     * where it is not empty.
     */
    public static RunLine find(Path from, String run) throws BadFileException {
        for (Path at = from.toAbsolutePath(); at != null; at = at.getParent()) {
            if (Files.exists(at.resolve(DEPLOY))) {
                return new RunLine(
                        at,
                        run.isEmpty() ? Toml.read(at.resolve(DEPLOY)).root().text("run", "") : run);
            }
        }
        if (run.isEmpty()) {
            throw new BadFileException(
                    DEPLOY
                            + ": not found in "
                            + from.toAbsolutePath()
                            + " or above, and proxies.run is not set");
        }
        return new RunLine(from.toAbsolutePath(), run);
    }
}
