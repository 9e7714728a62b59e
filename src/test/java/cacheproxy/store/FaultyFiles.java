package cacheproxy.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * File operations with fault injection: chosen steps fail, the process can be killed before any
 * step, and a crash of the machine loses everything that was not synced. Thread-safe.
 */
public final class FaultyFiles implements FileOperations {

    /** The operations that can fail; tests name the constants in strings. */
    public enum Step {
        CREATE_DIRECTORY,
        CREATE,
        WRITE,
        SYNC,
        SYNC_DIRECTORY,
        RENAME,
        DELETE
    }

    /** Thrown in place of the step at which the process is killed; only tests catch it. */
    public static final class Killed extends Error {
        private static final long serialVersionUID = 1;
    }

    private interface Undo {
        void run() throws IOException;
    }

    /** A change of a name, which a crash reverts as long as its directory has not been synced. */
    private record NameChange(Path directory, Undo undo) {}

    private final Map<Step, Integer> remainingFailures = new EnumMap<>(Step.class);
    private final Deque<NameChange> unsyncedNames = new ArrayDeque<>();
    private final Map<Path, byte[]> unsyncedContents = new HashMap<>();
    private int stepsUntilKill = Integer.MAX_VALUE;
    private boolean killed;
    private boolean hanging;

    /** Makes a step fail this many times from now on; 0 ends that. */
    public synchronized void fail(Step step, int times) {
        remainingFailures.put(step, times);
    }

    /** Blocks every further step until reset, as a hanging disk does. */
    public synchronized void setHanging(boolean hang) {
        hanging = hang;
        notifyAll();
    }

    /** Kills the process after this many further steps; if a write is next, half is written. */
    public synchronized void killAfter(int steps) {
        stepsUntilKill = steps;
    }

    /** Whether the process has been killed. */
    public synchronized boolean isKilled() {
        return killed;
    }

    /**
     * Simulates a power failure: half of each content that was not synced is lost.
     *
     * @param losesNames whether changes of names that were not synced are reverted too
     */
    public synchronized void crash(boolean losesNames) throws IOException {
        for (Map.Entry<Path, byte[]> lost : unsyncedContents.entrySet()) {
            if (Files.exists(lost.getKey())) {
                Files.write(lost.getKey(), firstHalf(lost.getValue()));
            }
        }
        while (losesNames && !unsyncedNames.isEmpty()) {
            unsyncedNames.removeLast().undo().run();
        }
    }

    private static byte[] firstHalf(byte[] content) {
        return Arrays.copyOf(content, content.length / 2);
    }

    private synchronized void awaitNotHanging() throws IOException {
        try {
            while (hanging) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void killIfDue() {
        if (stepsUntilKill-- <= 0) {
            killed = true;
            throw new Killed();
        }
    }

    private void beginStep(Step step) throws IOException {
        awaitNotHanging();
        killIfDue();
        int left = remainingFailures.getOrDefault(step, 0);
        if (left > 0) {
            remainingFailures.put(step, left - 1);
            throw new IOException("No space left on device");
        }
    }

    @Override
    public synchronized void createDirectory(Path directory) throws IOException {
        beginStep(Step.CREATE_DIRECTORY);
        if (!Files.exists(directory)) {
            SYSTEM.createDirectory(directory);
            unsyncedNames.add(
                    new NameChange(directory.getParent(), () -> deleteDirectory(directory)));
        }
    }

    private static void deleteDirectory(Path directory) throws IOException {
        try (Stream<Path> names = Files.list(directory)) {
            for (Path file : names.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    @Override
    public synchronized void create(Path file) throws IOException {
        beginStep(Step.CREATE);
        SYSTEM.create(file);
        recordCreated(file);
    }

    @Override
    public synchronized void create(Path file, Set<PosixFilePermission> permissions)
            throws IOException {
        beginStep(Step.CREATE);
        SYSTEM.create(file, permissions);
        recordCreated(file);
    }

    private void recordCreated(Path file) {
        unsyncedNames.add(new NameChange(file.getParent(), () -> Files.deleteIfExists(file)));
    }

    @Override
    public synchronized void write(Path file, byte[] content) throws IOException {
        try {
            beginStep(Step.WRITE);
        } catch (IOException | Killed e) {
            SYSTEM.write(file, firstHalf(content));
            throw e;
        }
        SYSTEM.write(file, content);
        unsyncedContents.put(file, content);
    }

    @Override
    public synchronized void sync(Path file) throws IOException {
        beginStep(Step.SYNC);
        SYSTEM.sync(file);
        unsyncedContents.remove(file);
    }

    @Override
    public synchronized void syncDirectory(Path directory) throws IOException {
        beginStep(Step.SYNC_DIRECTORY);
        SYSTEM.syncDirectory(directory);
        unsyncedNames.removeIf(change -> change.directory().equals(directory));
    }

    @Override
    public synchronized void rename(Path file, Path to) throws IOException {
        beginStep(Step.RENAME);
        byte[] before = Files.exists(to) ? Files.readAllBytes(to) : null;
        SYSTEM.rename(file, to);
        unsyncedNames.add(new NameChange(to.getParent(), () -> restore(to, before)));
        byte[] lost = unsyncedContents.remove(file);
        if (lost != null) {
            unsyncedContents.put(to, lost);
        }
    }

    @Override
    public synchronized void delete(Path file) throws IOException {
        beginStep(Step.DELETE);
        byte[] before = Files.exists(file) ? Files.readAllBytes(file) : null;
        SYSTEM.delete(file);
        if (before != null) {
            unsyncedNames.add(new NameChange(file.getParent(), () -> restore(file, before)));
        }
    }

    private static void restore(Path file, byte[] before) throws IOException {
        if (before == null) {
            Files.deleteIfExists(file);
        } else {
            Files.write(file, before);
        }
    }
}
