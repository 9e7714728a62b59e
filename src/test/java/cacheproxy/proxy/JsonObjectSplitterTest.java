package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A stream is split into the same objects whatever its layout and however it is divided into reads.
 */
class JsonObjectSplitterTest {

    private static final String INDENTED =
            "{\n  \"seq\": 1,\n  \"a\": [\n    {\n      \"t\": \"}{\\\"\\\\\"\n    },\n    {}\n  ]\n}\n";
    private static final String FLUSH_LEFT =
            "{\n\"seq\": 1,\n\"a\": [\n{\n\"t\": \"}{\\\"\\\\\"\n},\n{}\n]\n}\n";
    private static final String COMPACT = "{\"seq\":1,\"a\":[{\"t\":\"}{\\\"\\\\\"},{}]}\n";

    private final List<String> reported = new ArrayList<>();
    private final JsonObjectSplitter splitter =
            new JsonObjectSplitter(
                    new JsonObjectSplitter.Sink() {
                        @Override
                        public boolean object(String text, boolean afterMalformed) {
                            try {
                                JsonObject parsed = JsonParser.parseString(text).getAsJsonObject();
                                if (!parsed.has("seq")) {
                                    return false;
                                }
                                reported.add(
                                        (afterMalformed ? "after malformed " : "")
                                                + parsed.get("seq"));
                                return true;
                            } catch (JsonSyntaxException e) {
                                return false;
                            }
                        }

                        @Override
                        public void emptyLine() {
                            reported.add("heartbeat");
                        }

                        @Override
                        public void malformed() {
                            reported.add("malformed");
                        }
                    });

    private List<String> read(String text, int chunkBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int index = 0; index < bytes.length; index += chunkBytes) {
            splitter.read(
                    Unpooled.wrappedBuffer(
                            bytes, index, Math.min(chunkBytes, bytes.length - index)));
        }
        return reported;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void readsEveryLayout(int chunkBytes) {
        String all =
                COMPACT
                        + "\n"
                        + INDENTED
                        + "\r\n"
                        + FLUSH_LEFT
                        + INDENTED.replace("\n", "\r\n")
                        + "  \n"
                        + INDENTED.replace("  ", "\t")
                        + COMPACT;
        assertEquals(
                List.of("1", "heartbeat", "1", "heartbeat", "1", "1", "heartbeat", "1", "1"),
                read(all, chunkBytes));
    }

    /**
     * An object is reported with its last brace: the line end may follow only with the next
     * heartbeat.
     */
    @Test
    void reportsObjectAtItsLastBrace() {
        assertEquals(List.of("1"), read("{\n \"seq\": 1\n}", 3));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "not json\n",
                "{\"seq\":1,\"a\":[{}\n\n",
                "{\"seq\":1,\"a\":\"b\n",
                "{\"a\":1}\n",
                "{\"seq\":]}\n",
                "]\n"
            })
    void reportsMalformedInputAndReadsWhatFollows(String malformed) {
        read(malformed, 1000);
        assertEquals("malformed", reported.get(0));
        reported.clear();
        assertEquals(List.of("2", "heartbeat"), read("{\"seq\":2}\n\n", 1000));
    }

    @Test
    void truncatedObjectDoesNotSwallowTheNext() {
        assertEquals(
                List.of("after malformed 2", "3"),
                read("{\"seq\":1,\"a\":[{\"b\":\n{\"seq\":2}\n" + "{\"seq\":3}\n", 5));
        reported.clear();
        assertEquals(
                List.of("after malformed 2", "3"),
                read("{\n \"seq\": 1,\n \"a\": [\n{\n \"seq\": 2\n}\n{\"seq\":3}\n", 5));
    }

    /**
     * The complete endpoint list of the largest fleet, indented by four, with fields of maximum
     * length.
     */
    @Test
    void readsEndpointListOf3200Hosts() {
        String host =
                "    {\n"
                        + ("      \"name-of-field\": \"a value of thirty characters..\",\n")
                                .repeat(8)
                                .stripTrailing()
                        + "\n    },\n";
        String list =
                "{\n  \"seq\": 7,\n  \"hosts\": [\n"
                        + host.replace(",\n    }", "\n    }").repeat(3199)
                        + "    {}\n  ]\n}\n";
        assertEquals(List.of("7", "heartbeat"), read(list + "\n", 2048));
    }

    @Test
    void dropsObjectOverTheSizeLimit() {
        read("{\"seq\":1,\"a\":\"" + "v".repeat(JsonObjectSplitter.MAX_OBJECT_BYTES), 100_000);
        assertEquals("malformed", reported.get(0));
        reported.clear();
        assertEquals(
                List.of("2"), read("\n{\"seq\":2}\n", 1000).stream().filter("2"::equals).toList());
    }
}
