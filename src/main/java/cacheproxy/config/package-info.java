/**
 * The operator's TOML files: typed records, and a reader that reports each error in a one-line
 * message. Depends on files and the TOML library, but not on sockets or the decision module; a
 * proxy that is started without an options file loads {@link Options} only. Start reading at {@link
 * cacheproxy.config.Toml}.
 */
package cacheproxy.config;
