package cacheproxy.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build wrote into the program's file. */
final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Cli.class.getPackage().getImplementationVersion();
        return new String[] {"flintmill " + (version == null ? "(not built as a file)" : version)};
    }
}
