/**
 * What proxies tell one another: who is there ({@link cacheproxy.membership.Swim}) and what each
 * saw of the nodes ({@link cacheproxy.membership.Evidence}). No I/O, no clock, no threads and no
 * logging: packets, time and randomness come in as arguments, packets and events go out through
 * {@link cacheproxy.membership.Gossip.Actions}. Start reading at {@link
 * cacheproxy.membership.Gossip}, which joins the two and decides what a packet carries;
 * docs/design/gossip.md has the reasons.
 */
package cacheproxy.membership;
