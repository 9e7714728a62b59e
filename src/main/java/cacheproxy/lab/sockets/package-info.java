/**
 * Drives the laboratory's world on loopback sockets: stand-in machines, discovery, clients, hostile
 * peers, and the proxies as child processes. It reports what it sees to the ledger and decides
 * nothing. Start reading at {@link cacheproxy.lab.sockets.SocketRun}.
 */
package cacheproxy.lab.sockets;
