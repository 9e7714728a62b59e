package cacheproxy.proxy;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A running site with one client connected, for each test anew. */
abstract class WithProxyFixture {

    ProxyFixture fixture;
    TestServer.Connection client;

    @BeforeEach
    void start() throws Exception {
        fixture = ProxyFixture.started();
        client = fixture.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
    }
}
