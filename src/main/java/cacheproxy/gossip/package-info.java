/**
 * Gossip on sockets: UDP packets, signatures and key files around {@link
 * cacheproxy.membership.Gossip}, which decides everything. It may touch Netty, the JDK's
 * cryptography and the operator's options, but neither the proxy nor its router: those it reaches
 * through {@link cacheproxy.gossip.GossipSocket.Hooks}. Start reading at {@link
 * cacheproxy.gossip.GossipSocket}; nothing here is loaded where gossip is off.
 */
package cacheproxy.gossip;
