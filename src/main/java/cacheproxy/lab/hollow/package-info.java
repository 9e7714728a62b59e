/**
 * Scale tests with many real control planes in one process. Each control plane runs the gossip and
 * policy components of a proxy, with sockets, name, key and location of its own, and without
 * clients. The package uses the production code of {@code gossip} and {@code raft} and no test
 * doubles of it; it adds the simulated delay, loss and cuts of the links, the traffic counters and
 * the driver. Start reading at {@link cacheproxy.lab.hollow.ScaleRun}, then {@link
 * cacheproxy.lab.hollow.ControlPlane}.
 */
package cacheproxy.lab.hollow;
