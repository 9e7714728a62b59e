package hopglade.lab.stream;

import java.lang.management.ManagementFactory;

/** What a process has used. */
final class CpuTime {

    private static final long NS_PER_MS = 1_000_000;

    private CpuTime() { }

    /** Of all its threads since its start. */
    static long processMs() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime() / NS_PER_MS;
    }

    /** Heap that is still held after a collection. */
    static long retainedBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
