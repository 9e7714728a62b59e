package cacheproxy.raft;

import io.microraft.RaftEndpoint;

/** A voter, by its name. */
record Endpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }
}
