/**
 * Sockets, HTTP, connection pools, discovery, drain, reload and the log of one proxy. It reports
 * events truthfully and in time and decides nothing; it may use Netty, the decision packages and
 * the plain options record, and no tool. Start reading at {@link cacheproxy.proxy.Service}, then
 * {@code Proxy}.
 */
package cacheproxy.proxy;
