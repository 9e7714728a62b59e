/**
 * The laboratory: an installation made of models, played against real proxies or, later, in virtual
 * time, and judged by a ledger. It may use everything but the platform's run path, and nothing that
 * serves requests may use it. Start reading at {@link cacheproxy.lab.Experiment}, then {@link
 * cacheproxy.lab.sockets.SocketRun}.
 */
package cacheproxy.lab;
