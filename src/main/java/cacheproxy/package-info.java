/**
 * The decision module and the entry point of the program. {@link cacheproxy.DecisionModule}, which
 * implements {@link cacheproxy.Router}, uses the JDK alone: no clock, no threads, no sockets. Start
 * reading at {@code Router}; {@link cacheproxy.Main} parses the command line.
 */
package cacheproxy;
