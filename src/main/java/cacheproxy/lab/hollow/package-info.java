/**
 * Many real control planes in one process, for scale tests: each has the gossip and the policy that
 * a proxy runs, with its own sockets, name, key and place, and no clients. It uses {@code gossip}
 * and {@code raft} as they are and holds no twin of them; what is its own are the links' delay,
 * loss and cuts, the counting, and the driver. Start reading at {@link
 * cacheproxy.lab.hollow.HollowRun}, then {@link cacheproxy.lab.hollow.ControlPlane}.
 */
package cacheproxy.lab.hollow;
