/**
 * The operator's TOML files: typed records, and a reader that answers a mistake with one message.
 * It touches files and the TOML library, and nothing of sockets or decisions; a proxy that is given
 * no file loads {@link Options} alone. Start reading at {@link cacheproxy.config.Toml}.
 */
package cacheproxy.config;
