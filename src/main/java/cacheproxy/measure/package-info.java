/**
 * What decisions go by: rates and hashes. Nothing here decides, and nothing knows a clock, a socket
 * or a thread. Start reading at {@link cacheproxy.measure.DecayingRate}.
 */
package cacheproxy.measure;
