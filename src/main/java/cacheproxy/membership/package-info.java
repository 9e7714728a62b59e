/**
 * Gossip between proxies: fleet membership ({@link cacheproxy.membership.Swim}) and shared failure
 * reports about cache nodes ({@link cacheproxy.membership.Evidence}). The package has no I/O, no
 * clock, no threads and no logging: packets, time and the random seed are arguments; outgoing
 * packets and events are passed to {@link cacheproxy.membership.Gossip.Actions}. The entry point is
 * {@link cacheproxy.membership.Gossip}, which combines both and decides what each packet carries.
 * See docs/design/gossip.md for the design rationale.
 */
package cacheproxy.membership;
