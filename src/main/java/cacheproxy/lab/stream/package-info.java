/**
 * Load test of the change stream on real sockets at the planned fleet size: subscribing proxies
 * that share processes, control machines with a process each, and a driver that publishes changes,
 * kills the leader and measures. It uses the production code of {@code cacheproxy.stream} and no
 * test doubles of it. Start reading at {@link StreamLoad}.
 */
package cacheproxy.lab.stream;
