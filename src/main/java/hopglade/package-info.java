/**
 * What is decided, and where the program starts. {@link hopglade.Decide} behind {@link
 * hopglade.Router} uses the JDK alone: no clock, no threads, no sockets. Start reading at {@code
 * Router}; {@link hopglade.Main} takes the command line apart.
 */
package hopglade;
