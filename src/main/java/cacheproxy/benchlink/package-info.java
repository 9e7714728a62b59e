/**
 * The simulator's wire over the same decisions, and the reader of the platform's settings. It
 * touches standard input and output alone. Start reading at {@link cacheproxy.benchlink.Link}.
 */
package cacheproxy.benchlink;
