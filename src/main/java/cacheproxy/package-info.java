/**
 * What is decided, and where the program starts. {@link cacheproxy.DecisionModule} behind {@link
 * cacheproxy.Router} uses the JDK alone: no clock, no threads, no sockets. Start reading at {@code
 * Router}; {@link cacheproxy.Main} takes the command line apart.
 */
package cacheproxy;
