package cacheproxy.lab;

import java.lang.management.ManagementFactory;

/** CPU time and memory used by this process, for the measurements of the testbed. */
public final class ProcessUse {

    private static final long NS_PER_MS = 1_000_000;

    private ProcessUse() {}

    /** Returns the CPU time of all threads since the process started, in ms. */
    public static long cpuMs() {
        return ((com.sun.management.OperatingSystemMXBean)
                                ManagementFactory.getOperatingSystemMXBean())
                        .getProcessCpuTime()
                / NS_PER_MS;
    }

    /** Runs a garbage collection and returns the bytes of heap still in use. */
    public static long retainedBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
