/**
 * The command line beside {@code serve}: words, options, help and exit codes, by picocli. It calls
 * the configuration and the laboratory and decides nothing itself; nothing that serves requests may
 * depend on it. Start reading at {@link cacheproxy.cli.Cli}.
 */
package cacheproxy.cli;
