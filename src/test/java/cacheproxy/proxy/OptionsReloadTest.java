package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Options;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A reload applies both the platform's configuration and the operators' options, or neither. */
class OptionsReloadTest {

    @Test
    void invalidOptionsLeaveDiscoveryUnchanged(@TempDir Path directory) throws Exception {
        BlockingQueue<String> read = new LinkedBlockingQueue<>();
        Options[] next = {null};
        try (ProxyFixture site = ProxyFixture.started();
                TestServer moved = new TestServer()) {
            assertTrue(site.discovery.next().firstLine().startsWith("GET /discovery/hosts"));
            site.service.useOptions(
                    () -> {
                        read.add("read");
                        if (next[0] == null) {
                            throw new BadFileException("f:1: log.tally_s: found 0");
                        }
                        return next[0];
                    },
                    Options.DEFAULTS);
            Path file = directory.resolve("config.json");
            Files.writeString(
                    file,
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                            + moved.dial()
                            + "\",\"settings\":"
                            + ProxyFixture.SETTINGS.formatted("automatic", "60000")
                            + "}");
            Map<String, String> environment = Map.of("BALANCER_CONFIG", file.toString());
            site.service.reload(environment);
            ScriptedRouter.awaitNext(read);
            // The reload runs on the proxy's event loop, so a request served after it shows that
            // it has finished.
            try (TestServer.Connection client = site.client()) {
                client.write(site.get(ProxyFixture.LONG_BUDGET_S));
                site.node.next().connection().respond(200, "v");
                assertEquals(200, ProxyFixture.status(client.read()));
            }
            assertTrue(moved.receivedNothing());
            next[0] =
                    new Options(
                            new Options.Log(Options.Format.TEXT, 60, 20, 10),
                            Options.DEFAULTS.gossip(),
                            Options.DEFAULTS.policy(),
                            Options.DEFAULTS.nodes());
            site.service.reload(environment);
            assertTrue(moved.next().firstLine().startsWith("GET /discovery/hosts"));
        }
    }
}
