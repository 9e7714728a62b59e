package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** With a lightly loaded proxy and a healthy origin, every read that misses is fetched. */
class FetchOnMissTest {

    private static final int CACHE_NODES = 4;
    private static final int READ_COUNT = 200;

    private static FleetFixture.Script alwaysMiss() {
        return (request, index) -> request.connection().respond(404, "");
    }

    @Test
    void eachOf200DistinctKeysThatMissIsFetchedOnceAndServed() throws Exception {
        try (FleetFixture fleet =
                new FleetFixture(CACHE_NODES, alwaysMiss(), FleetFixture.alwaysRespond())) {
            List<Integer> statuses = new ArrayList<>();
            List<Integer> fetchCounts = new ArrayList<>();
            for (int i = 0; i < READ_COUNT; i++) {
                statuses.add(fleet.read("distinct" + i));
                List<String> sentTo = fleet.nodesByRequest.getOrDefault(fleet.lastId(), List.of());
                fetchCounts.add(Collections.frequency(sentTo, fleet.origin));
                assertEquals(
                        fleet.origin,
                        sentTo.get(sentTo.size() - 1),
                        "read " + i + " went to " + sentTo);
            }
            assertEquals(Collections.nCopies(READ_COUNT, 200), statuses);
            assertEquals(Collections.nCopies(READ_COUNT, 1), fetchCounts);
        }
    }
}
