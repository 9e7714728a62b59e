package cacheproxy.raft;

import io.microraft.RaftEndpoint;

/** A voter as a Raft endpoint, identified by its name. */
record Endpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }
}
