package cacheproxy.lab;

import cacheproxy.Router;

/** Actions that do nothing. Drivers that simulate a part of a proxy override that part. */
public abstract class NoopActions implements Router.Actions {

    @Override
    public void send(String request, String node, double timeoutMs) {}

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void reject(String request, double retryAfterMs) {}

    @Override
    public void fail(String request) {}

    @Override
    public void scheduleTimer(double atMs, String token) {}

    @Override
    public void subscribe() {}

    @Override
    public void probe(String node) {}

    @Override
    public void sendToPeers(byte[] contents) {}

    @Override
    public void closeIdleConnections(String node) {}
}
