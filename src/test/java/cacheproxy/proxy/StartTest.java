package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Work that a start on a fraction of a core must not repeat each time, as it delays the first
 * client.
 */
class StartTest {

    @Test
    @Timeout(60)
    void rehearsalUsesEndpointsAndTerminates() throws Exception {
        Config config = Config.parse(Service.REHEARSAL_CONFIG, Map.of());
        assertEquals(1, config.knownEndpoints().endpoints().size());
        assertEquals("origin", config.settings().originModel());
        Service.rehearse();
    }

    /**
     * String concatenation that is linked at its first use (invokedynamic) costs a start a
     * millisecond or more for each shape.
     */
    @Test
    void stringConcatenationNeedsNoLinking() throws IOException {
        try (InputStream service = Service.class.getResourceAsStream("Service.class")) {
            String code = new String(service.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertFalse(code.contains("makeConcatWithConstants"));
        }
    }
}
