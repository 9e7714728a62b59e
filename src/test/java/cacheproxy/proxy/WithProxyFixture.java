package cacheproxy.proxy;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Starts a fixture with one connected client before each test. */
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
