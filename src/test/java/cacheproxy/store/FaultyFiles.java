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
 * The machine's file operations, of which chosen ones fail, with a process that can be killed
 * before each of them and a machine that loses at a crash what was not synced. Safe for use by
 * several threads.
 */
public final class FaultyFiles implements FileOperations {

    /** The operations that can fail. */
    public enum Step {
        CREATE_FOLDER,
        CREATE,
        WRITE,
        FORCE,
        FORCE_FOLDER,
        RENAME,
        DELETE
    }

    /**
     * Thrown in place of the step at which the process is killed; nothing catches it but a test.
     */
    public static final class Killed extends Error {
        private static final long serialVersionUID = 1;
    }

    private interface Undo {
        void run() throws IOException;
    }

    /** A change of a name, lost at a crash as long as its folder has not been synced. */
    private record NameChange(Path folder, Undo undo) {}

    private final Map<Step, Integer> failures = new EnumMap<>(Step.class);
    private final Deque<NameChange> namesNotSynced = new ArrayDeque<>();
    private final Map<Path, byte[]> contentsNotSynced = new HashMap<>();
    private int stepsUntilKill = Integer.MAX_VALUE;
    private boolean killed;
    private boolean held;

    /** Lets a step fail so many times from now on; 0 ends that. */
    public synchronized void fail(Step step, int times) {
        failures.put(step, times);
    }

    /** Lets no further step begin as long as this holds, as a disk that hangs. */
    public synchronized void hold(boolean holds) {
        held = holds;
        notifyAll();
    }

    /** Kills the process after so many further steps; a write that comes next is half done. */
    public synchronized void killAfter(int steps) {
        stepsUntilKill = steps;
    }

    /** Whether a kill has come. */
    public synchronized boolean isKilled() {
        return killed;
    }

    /**
     * The machine's power fails: contents that were not synced are lost, and names too where this
     * is said.
     */
    public synchronized void crash(boolean losesNames) throws IOException {
        for (Map.Entry<Path, byte[]> lost : contentsNotSynced.entrySet()) {
            if (Files.exists(lost.getKey())) {
                Files.write(lost.getKey(), half(lost.getValue()));
            }
        }
        while (losesNames && !namesNotSynced.isEmpty()) {
            namesNotSynced.removeLast().undo().run();
        }
    }

    private static byte[] half(byte[] content) {
        return Arrays.copyOf(content, content.length / 2);
    }

    private synchronized void awaitRelease() throws IOException {
        try {
            while (held) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void kill() {
        if (stepsUntilKill-- <= 0) {
            killed = true;
            throw new Killed();
        }
    }

    private void begin(Step step) throws IOException {
        awaitRelease();
        kill();
        int left = failures.getOrDefault(step, 0);
        if (left > 0) {
            failures.put(step, left - 1);
            throw new IOException("No space left on device");
        }
    }

    @Override
    public synchronized void createFolder(Path folder) throws IOException {
        begin(Step.CREATE_FOLDER);
        if (!Files.exists(folder)) {
            SYSTEM.createFolder(folder);
            namesNotSynced.add(new NameChange(folder.getParent(), () -> deleteFolder(folder)));
        }
    }

    private static void deleteFolder(Path folder) throws IOException {
        try (Stream<Path> names = Files.list(folder)) {
            for (Path file : names.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    @Override
    public synchronized void create(Path file) throws IOException {
        begin(Step.CREATE);
        SYSTEM.create(file);
        created(file);
    }

    @Override
    public synchronized void create(Path file, Set<PosixFilePermission> permissions)
            throws IOException {
        begin(Step.CREATE);
        SYSTEM.create(file, permissions);
        created(file);
    }

    private void created(Path file) {
        namesNotSynced.add(new NameChange(file.getParent(), () -> Files.deleteIfExists(file)));
    }

    @Override
    public synchronized void write(Path file, byte[] content) throws IOException {
        try {
            begin(Step.WRITE);
        } catch (IOException | Killed e) {
            SYSTEM.write(file, half(content));
            throw e;
        }
        SYSTEM.write(file, content);
        contentsNotSynced.put(file, content);
    }

    @Override
    public synchronized void force(Path file) throws IOException {
        begin(Step.FORCE);
        SYSTEM.force(file);
        contentsNotSynced.remove(file);
    }

    @Override
    public synchronized void forceFolder(Path folder) throws IOException {
        begin(Step.FORCE_FOLDER);
        SYSTEM.forceFolder(folder);
        namesNotSynced.removeIf(change -> change.folder().equals(folder));
    }

    @Override
    public synchronized void rename(Path file, Path to) throws IOException {
        begin(Step.RENAME);
        byte[] before = Files.exists(to) ? Files.readAllBytes(to) : null;
        SYSTEM.rename(file, to);
        namesNotSynced.add(new NameChange(to.getParent(), () -> restore(to, before)));
        byte[] lost = contentsNotSynced.remove(file);
        if (lost != null) {
            contentsNotSynced.put(to, lost);
        }
    }

    @Override
    public synchronized void delete(Path file) throws IOException {
        begin(Step.DELETE);
        byte[] before = Files.exists(file) ? Files.readAllBytes(file) : null;
        SYSTEM.delete(file);
        if (before != null) {
            namesNotSynced.add(new NameChange(file.getParent(), () -> restore(file, before)));
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
