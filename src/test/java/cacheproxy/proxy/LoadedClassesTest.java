package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Limits the classes that a process loads after its warm-up. Loading one takes a fraction of a
 * millisecond of the event loop on half a core, and many are needed at the same moment: when
 * discovery is lost, at a reload, under a flood of requests, or at shutdown.
 */
class LoadedClassesTest {

    private static final int TIMEOUT_S = 120;
    private static final int CLIENTS = 100;

    /** Limit for named classes of the project; one, {@code measure.Samples}, is expected. */
    private static final int MAX_NAMED_CLASSES = 2;

    /**
     * Limit for classes that the JVM generates for lambdas and method references; 30 are expected.
     */
    private static final int MAX_LAMBDA_CLASSES = 40;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HEARTBEAT = "1\r\n\n\r\n";

    @TempDir private Path temp;

    @Test
    @Timeout(TIMEOUT_S)
    void fewClassesAreLoadedAfterWarmup() throws Exception {
        Path loaded = temp.resolve("loaded");
        try (ServeProcess serve =
                        new ServeProcess(temp, List.of(), "-Xlog:class+load:file=" + loaded);
                TestServer next = new TestServer()) {
            TestServer.Message watch = serve.site.discovery.next();
            watch.connection().write(HEAD + HEARTBEAT);
            serve.awaitUp();
            int before = ownClasses(loaded).size();
            flood(serve);
            watch.connection().close();
            TestServer.Message again = serve.site.discovery.next();
            while (again.text() == null) {
                again = serve.site.discovery.next();
            }
            again.connection().write(HEAD + HEARTBEAT);
            serve.configure(serve.configurationWithDiscovery(next));
            serve.signal("HUP");
            next.next().connection().write(HEAD + HEARTBEAT);
            serve.signal("TERM");
            serve.awaitTermination();
            List<String> after = ownClasses(loaded).stream().skip(before).toList();
            assertTrue(before > 0, "no class loading was logged");
            long lambdas = after.stream().filter(name -> name.contains("$$Lambda")).count();
            assertTrue(lambdas <= MAX_LAMBDA_CLASSES, lambdas + " lambdas: " + after);
            assertTrue(after.size() - lambdas <= MAX_NAMED_CLASSES, after.toString());
        }
    }

    /**
     * Many clients send a request at once and some of them disconnect; the node answers one request
     * and breaks two connections.
     */
    private static void flood(ServeProcess serve) throws Exception {
        List<TestServer.Connection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestServer.Connection client = serve.client();
            client.write(serve.site.get(1));
            clients.add(client);
        }
        for (int i = 0; i < CLIENTS; i += 5) {
            clients.get(i).close();
        }
        answerSome(serve.site.node);
        for (int i = 1; i < CLIENTS; i++) {
            if (i % 5 != 0) {
                clients.get(i).read();
                clients.get(i).close();
            }
        }
    }

    private static void answerSome(TestServer node) throws InterruptedException {
        for (int count = 0; count < 3; count++) {
            TestServer.Message request = node.next();
            try {
                if (count == 0) {
                    request.connection().respond(200, "v");
                } else {
                    request.connection().close();
                }
            } catch (IOException e) {
                // The proxy has cancelled the attempt meanwhile.
            }
        }
    }

    private static List<String> ownClasses(Path loaded) throws IOException {
        return Files.readAllLines(loaded).stream()
                .filter(l -> l.contains(" cacheproxy."))
                .map(l -> l.replaceFirst(".* (cacheproxy\\S+) .*", "$1"))
                .toList();
    }
}
