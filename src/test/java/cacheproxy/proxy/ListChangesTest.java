package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListChangesTest {

    private final ListChanges changes = new ListChanges();
    private int version;

    private List<String> told(boolean whole, String... hosts) {
        HostList list =
                HostList.parse(
                        JsonParser.parseString(
                                        "{\"seq\": "
                                                + ++version
                                                + ", \"whole\": "
                                                + whole
                                                + ", \"hosts\": ["
                                                + String.join(",", hosts)
                                                + "]}")
                                .getAsJsonObject());
        return changes.of(list).stream()
                .map(h -> h.node().id() + " " + h.node().availability() + " " + h.dial())
                .toList();
    }

    private static String host(String id, String health, int port, double share, long bornMs) {
        return "{\"host\": \""
                + id
                + "\", \"health\": \""
                + health
                + "\", \"dial\": \"127.0.0.1:"
                + port
                + "\", \"share\": "
                + share
                + ", \"born_ms\": "
                + bornMs
                + "}";
    }

    @Test
    void aWeightAloneIsNoNews() {
        assertEquals(
                List.of("a UP /127.0.0.1:1", "b UP /127.0.0.1:2"),
                told(true, host("a", "up", 1, 1, 0), host("b", "up", 2, 1, 0)));
        assertEquals(
                List.of(), told(false, host("a", "up", 1, 0.3, 0), host("b", "up", 2, 0.7, 0)));
        assertEquals(List.of(), told(true, host("a", "up", 1, 0.4, 0), host("b", "up", 2, 1, 0)));
    }

    @Test
    void whatChangesOtherwiseIsToldOnce() {
        told(true, host("a", "up", 1, 1, 0), host("b", "up", 2, 1, 0), host("c", "up", 3, 1, 0));
        assertEquals(
                List.of("a DRAINING /127.0.0.1:1", "b UP /127.0.0.1:9"),
                told(false, host("a", "draining", 1, 1, 0), host("b", "up", 9, 1, 0)));
        assertEquals(List.of("b UP /127.0.0.1:9"), told(false, host("b", "up", 9, 1, 500)));
        assertEquals(
                List.of("c GONE /127.0.0.1:3"),
                told(true, host("a", "draining", 1, 1, 0), host("b", "up", 9, 1, 500)));
        assertEquals(
                List.of(), told(true, host("a", "draining", 1, 1, 0), host("b", "up", 9, 1, 500)));
        assertEquals(List.of("c UP /127.0.0.1:3"), told(false, host("c", "up", 3, 1, 0)));
    }
}
