package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Connection failures at all nodes alike are attributed to the network: they neither throttle the
 * origin nor eject a node.
 */
class NetworkWideFailuresTest {

    /** Control intervals until failure rates are learned and the controller's level may rise. */
    private static final int LEARNING_INTERVALS = 3;

    /** Control intervals until the level has risen as far as it can. */
    private static final int TEST_INTERVALS = 10;

    /** Requests with the same effect on a slow machine, where an interval has few requests. */
    private static final int MIN_REQUESTS = 500;

    /** Closes the connection of the first {@code consecutive} of every ten requests. */
    private static FleetFixture.Script closeFirstOfEachTen(int consecutive) {
        return (request, index) -> {
            if (index % 10 < consecutive) {
                request.connection().close();
            } else {
                FleetFixture.respond(request);
            }
        };
    }

    @Test
    void failuresEverywhereCauseNoThrottlingAndAreRetriedAtSameNode() throws Exception {
        try (FleetFixture fleet =
                new FleetFixture(4, closeFirstOfEachTen(1), closeFirstOfEachTen(1))) {
            int retries = 0;
            for (int i = 0;
                    fleet.controlIntervals() < TEST_INTERVALS || i < 2 * MIN_REQUESTS;
                    i++) {
                fleet.write();
                assertTrue(
                        fleet.nodesByRequest.containsKey(fleet.lastId()),
                        "a write was rejected unsent");
                int readStatus = fleet.read();
                List<String> nodes = fleet.nodesByRequest.get(fleet.lastId());
                if (fleet.controlIntervals() > LEARNING_INTERVALS && i > MIN_REQUESTS) {
                    assertEquals(200, readStatus);
                    assertEquals(1, new HashSet<>(nodes).size(), nodes.toString());
                    retries += nodes.size() - 1;
                }
            }
            assertTrue(retries > 0);
        }
    }

    @Test
    void twoConsecutiveFailuresEjectNoNode() throws Exception {
        try (FleetFixture fleet =
                new FleetFixture(5, closeFirstOfEachTen(2), FleetFixture.alwaysRespond())) {
            Map<Integer, Set<String>> nodesByKey = new HashMap<>();
            for (int i = 0;
                    fleet.controlIntervals() < TEST_INTERVALS || i < 2 * MIN_REQUESTS;
                    i++) {
                fleet.read();
                if (fleet.controlIntervals() > LEARNING_INTERVALS && i > MIN_REQUESTS) {
                    assertTrue(
                            fleet.nodesByRequest.containsKey(fleet.lastId()),
                            "a read was rejected unsent");
                    nodesByKey
                            .computeIfAbsent(i % FleetFixture.KEY_COUNT, each -> new HashSet<>())
                            .addAll(fleet.nodesByRequest.get(fleet.lastId()));
                }
            }
            nodesByKey.forEach((key, nodes) -> assertTrue(nodes.size() <= 2, nodes.toString()));
        }
    }

    @Test
    void originThatAloneFailsIsThrottled() throws Exception {
        FleetFixture.Script closeEveryOther =
                (request, index) -> {
                    if (index % 2 == 0) {
                        request.connection().close();
                    } else {
                        FleetFixture.respond(request);
                    }
                };
        try (FleetFixture fleet =
                new FleetFixture(4, FleetFixture.alwaysRespond(), closeEveryOther)) {
            boolean rejectedUnsent = false;
            while (!rejectedUnsent && fleet.controlIntervals() < 3 * TEST_INTERVALS) {
                fleet.read();
                rejectedUnsent =
                        fleet.write() == 503 && !fleet.nodesByRequest.containsKey(fleet.lastId());
            }
            assertTrue(
                    rejectedUnsent,
                    "an origin that closes half of its connections was not throttled");
        }
    }
}
