/**
 * The change stream on real sockets at the target's size: hollow proxies that share processes,
 * control machines that have one each, and a driver that publishes, kills and counts. Uses {@code
 * cacheproxy.stream} as a proxy would, and no twin of it. Start reading at {@link StreamLoad}.
 */
package cacheproxy.lab.stream;
