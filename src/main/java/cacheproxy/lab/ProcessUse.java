package cacheproxy.lab;

import java.lang.management.ManagementFactory;

/** What this process uses, for the measurements of the laboratory. */
public final class ProcessUse {

    private static final long NS_PER_MS = 1_000_000;

    private ProcessUse() {}

    /** Milliseconds of a core, of all its threads since its start. */
    public static long cpuMs() {
        return ((com.sun.management.OperatingSystemMXBean)
                                ManagementFactory.getOperatingSystemMXBean())
                        .getProcessCpuTime()
                / NS_PER_MS;
    }

    /** Bytes of heap that are still held after a collection, which this runs. */
    public static long retainedBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
