package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * With a proxy that has little to do and an origin that is well, every read that misses is fetched.
 */
class CalmFetchesTest {

    private static final int CACHES = 4;
    private static final int READS = 200;

    private static Fleet.Script missing() {
        return (request, n) -> request.wire().answer(404, "");
    }

    @Test
    void eachOf200DistinctKeysThatMissIsFetchedOnceAndServed() throws Exception {
        try (Fleet fleet = new Fleet(CACHES, missing(), Fleet.answering())) {
            List<Integer> statuses = new ArrayList<>();
            List<Integer> fetches = new ArrayList<>();
            for (int i = 0; i < READS; i++) {
                statuses.add(fleet.read("distinct" + i));
                List<String> sentTo = fleet.nodesOf.getOrDefault(fleet.lastId(), List.of());
                fetches.add(Collections.frequency(sentTo, fleet.origin));
                assertEquals(
                        fleet.origin,
                        sentTo.get(sentTo.size() - 1),
                        "read " + i + " went to " + sentTo);
            }
            assertEquals(Collections.nCopies(READS, 200), statuses);
            assertEquals(Collections.nCopies(READS, 1), fetches);
        }
    }
}
