package cacheproxy.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that calls have the same order in all processes of a machine. */
class CallTimeTest {

    private static final int TIMEOUT_S = 120;

    /** Program that prints the time of a call made in its own process. */
    static final class CallerProcess {
        private CallerProcess() {}

        public static void main(String[] arguments) {
            System.out.print(CallTime.now().nanos());
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void ordersCallsOfTwoProcesses() throws Exception {
        CallTime before = CallTime.now();
        CallTime between = timeInAnotherProcess();
        CallTime after = CallTime.now();
        assertTrue(between.isAfter(before), between + " after " + before);
        assertTrue(after.isAfter(between), after + " after " + between);
    }

    private static CallTime timeInAnotherProcess() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process =
                new ProcessBuilder(
                                java,
                                "-cp",
                                System.getProperty("java.class.path"),
                                CallerProcess.class.getName())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        byte[] output = process.getInputStream().readAllBytes();
        assertEquals(0, process.waitFor());
        return new CallTime(Long.parseLong(new String(output, StandardCharsets.US_ASCII)));
    }

    @Test
    void callIsNotAfterItselfAndOrderSurvivesClockOverflow() {
        CallTime last = new CallTime(Long.MAX_VALUE);
        CallTime next = new CallTime(Long.MIN_VALUE);
        assertFalse(last.isAfter(last));
        assertTrue(next.isAfter(last));
        assertFalse(last.isAfter(next));
    }
}
