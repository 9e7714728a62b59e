/**
 * Fault search: generates installations, loads and overlapping faults from a seed, runs them in
 * virtual time, and reduces the scenarios that break a rule or an invariant. There is no I/O. Start
 * reading at {@link cacheproxy.lab.hunt.FaultSearch}.
 */
package cacheproxy.lab.hunt;
