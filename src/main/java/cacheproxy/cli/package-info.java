/**
 * The command line tools other than {@code serve}: subcommands, options, help and exit codes, with
 * picocli. It calls the configuration and the testbed and has no logic of its own; code that serves
 * requests may not depend on it. Start reading at {@link cacheproxy.cli.Cli}.
 */
package cacheproxy.cli;
