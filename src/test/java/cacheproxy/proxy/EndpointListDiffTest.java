package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which differences between endpoint lists are reported for the log. */
class EndpointListDiffTest {

    private final EndpointListDiff diff = new EndpointListDiff();
    private int version;

    private List<String> changesOf(boolean snapshot, String... hosts) {
        EndpointListUpdate list =
                EndpointListUpdate.parse(
                        JsonParser.parseString(
                                        "{\"seq\": "
                                                + ++version
                                                + ", \"whole\": "
                                                + snapshot
                                                + ", \"hosts\": ["
                                                + String.join(",", hosts)
                                                + "]}")
                                .getAsJsonObject());
        return diff.changedEndpoints(list).stream()
                .map(h -> h.node().id() + " " + h.node().availability() + " " + h.address())
                .toList();
    }

    private static String host(
            String id, String health, int port, double weight, long startedAtMs) {
        return "{\"host\": \""
                + id
                + "\", \"health\": \""
                + health
                + "\", \"dial\": \"127.0.0.1:"
                + port
                + "\", \"share\": "
                + weight
                + ", \"born_ms\": "
                + startedAtMs
                + "}";
    }

    @Test
    void weightChangeAloneIsNotReported() {
        assertEquals(
                List.of("a UP /127.0.0.1:1", "b UP /127.0.0.1:2"),
                changesOf(true, host("a", "up", 1, 1, 0), host("b", "up", 2, 1, 0)));
        assertEquals(
                List.of(),
                changesOf(false, host("a", "up", 1, 0.3, 0), host("b", "up", 2, 0.7, 0)));
        assertEquals(
                List.of(), changesOf(true, host("a", "up", 1, 0.4, 0), host("b", "up", 2, 1, 0)));
    }

    @Test
    void otherChangesAreReportedOnce() {
        changesOf(
                true, host("a", "up", 1, 1, 0), host("b", "up", 2, 1, 0), host("c", "up", 3, 1, 0));
        assertEquals(
                List.of("a DRAINING /127.0.0.1:1", "b UP /127.0.0.1:9"),
                changesOf(false, host("a", "draining", 1, 1, 0), host("b", "up", 9, 1, 0)));
        assertEquals(List.of("b UP /127.0.0.1:9"), changesOf(false, host("b", "up", 9, 1, 500)));
        assertEquals(
                List.of("c GONE /127.0.0.1:3"),
                changesOf(true, host("a", "draining", 1, 1, 0), host("b", "up", 9, 1, 500)));
        assertEquals(
                List.of(),
                changesOf(true, host("a", "draining", 1, 1, 0), host("b", "up", 9, 1, 500)));
        assertEquals(List.of("c UP /127.0.0.1:3"), changesOf(false, host("c", "up", 3, 1, 0)));
    }
}
