package hopglade.cli;

import picocli.CommandLine.Command;

@Command(name = "lab", description = "The laboratory.", mixinStandardHelpOptions = true, versionProvider = Version.class)
final class LabCommands { }
