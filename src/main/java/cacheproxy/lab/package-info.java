/**
 * The testbed: a simulated installation of cache nodes, origin, discovery and clients that is run
 * against real proxies or in virtual time, and a ledger from which the rules are checked. It may
 * use everything except the platform's run path; nothing that serves requests may use it. Start
 * reading at {@link cacheproxy.lab.Experiment}, then {@link cacheproxy.lab.sockets.SocketRun}.
 */
package cacheproxy.lab;
