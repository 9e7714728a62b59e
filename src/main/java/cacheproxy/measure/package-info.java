/**
 * Rates, statistics and hashes that decisions are based on. This package makes no decisions and
 * uses no clock, sockets or threads. Start reading at {@link cacheproxy.measure.DecayingRate}.
 */
package cacheproxy.measure;
