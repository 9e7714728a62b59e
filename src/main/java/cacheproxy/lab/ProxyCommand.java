package cacheproxy.lab;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Files;
import java.nio.file.Path;

/** The command that starts one proxy, and its working directory. */
public record ProxyCommand(Path directory, String command) {

    private static final String DEPLOY = "deploy/balancer.toml";

    /**
     * Looks for deploy/balancer.toml in a directory and its ancestors.
     *
     * @param commandOverride the command to use instead of the one in that file, unless empty
     */
    public static ProxyCommand find(Path start, String commandOverride) throws BadFileException {
        for (Path ancestor = start.toAbsolutePath();
                ancestor != null;
                ancestor = ancestor.getParent()) {
            if (Files.exists(ancestor.resolve(DEPLOY))) {
                return new ProxyCommand(
                        ancestor,
                        commandOverride.isEmpty()
                                ? Toml.read(ancestor.resolve(DEPLOY)).root().string("run", "")
                                : commandOverride);
            }
        }
        if (commandOverride.isEmpty()) {
            throw new BadFileException(
                    DEPLOY
                            + ": not found in "
                            + start.toAbsolutePath()
                            + " or above, and proxies.run is not set");
        }
        return new ProxyCommand(start.toAbsolutePath(), commandOverride);
    }
}
