package cacheproxy.cli;

import picocli.CommandLine.IVersionProvider;

/** Provides the version that the build wrote into the manifest of the jar file. */
final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Cli.class.getPackage().getImplementationVersion();
        return new String[] {"flintmill " + (version == null ? "(not run from a jar)" : version)};
    }
}
