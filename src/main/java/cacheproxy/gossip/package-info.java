/**
 * Gossip over the network: UDP sockets, signatures and key files for {@link
 * cacheproxy.membership.Gossip}, which contains the protocol logic. The package may use Netty, the
 * JDK's cryptography and the operator's options, but not the proxy or its router, which it reaches
 * only through {@link cacheproxy.gossip.GossipSocket.Hooks}. The entry point is {@link
 * cacheproxy.gossip.GossipSocket}. No class of this package is loaded if gossip is disabled.
 */
package cacheproxy.gossip;
