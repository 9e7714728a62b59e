/**
 * Sockets, HTTP, connection pools, discovery, drain, reload and the log of one proxy. The package
 * reports events accurately and without delay to the decision module and makes no routing decisions
 * itself. It may use Netty, the decision packages and the plain options record, but no tools. Start
 * reading at {@link cacheproxy.proxy.Service}, then {@code Proxy}.
 */
package cacheproxy.proxy;
