/**
 * Runs the simulated installation of the testbed on loopback sockets: HTTP servers in the place of
 * cache nodes and origin, discovery, clients, hostile clients, and real proxies as child processes.
 * The package records its observations in the ledger; the rules are evaluated elsewhere. Start
 * reading at {@link cacheproxy.lab.sockets.SocketRun}.
 */
package cacheproxy.lab.sockets;
