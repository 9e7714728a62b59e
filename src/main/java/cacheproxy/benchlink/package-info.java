/**
 * The simulator's protocol for the decision module, and the reader of the platform's settings. Does
 * I/O on standard input and output only. Start reading at {@link
 * cacheproxy.benchlink.SimulatorSession}.
 */
package cacheproxy.benchlink;
