package cacheproxy.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Stores which nodes are in maintenance and whether the proxy is drained, as one empty file per
 * state. The old and the new process of an upgrade see each other's files, a change of one state is
 * atomic, and it can't undo the change of another. The file name carries the state, so no content
 * can be damaged. A change is durable once its call has returned. These calls block on the disk and
 * must be made by one thread at a time, not on the event loop. A change that is written late,
 * because its first write failed, is superseded by a later call that any process has written in the
 * meantime ({@link CallMarkers}).
 */
public final class MaintenanceFiles {

    private static final String NODE_PREFIX = "out-";
    private static final String DRAINED = "drained";

    /** The stored state: the nodes in maintenance, and whether the proxy is drained. */
    public record MaintenanceState(Set<String> nodes, boolean drained) {}

    private final Path directory;

    /** Null for the default file system. */
    private final FileOperations operations;

    /** Null before the first change: a process that only reads loads no further classes. */
    private DurableFiles files;

    /** Null as long as {@code files} is null. */
    private CallMarkers markers;

    /** Whether the directory's own name is known to be synced to the disk. */
    private boolean directorySynced;

    public MaintenanceFiles(Path directory) {
        this(directory, null);
    }

    /** For tests: uses the given file operations, which may fail. */
    public MaintenanceFiles(Path directory, FileOperations operations) {
        this.directory = directory;
        this.operations = operations;
    }

    /**
     * Returns the stored state. Throws if it can't be read, for example without a free file
     * descriptor: a caller must not mistake that for an empty state.
     */
    public MaintenanceState read() throws IOException {
        Set<String> names = fileNames();
        Set<String> nodes = new HashSet<>();
        names.stream().filter(n -> n.startsWith(NODE_PREFIX)).forEach(n -> addNode(nodes, n));
        return new MaintenanceState(nodes, names.contains(DRAINED));
    }

    private Set<String> fileNames() throws IOException {
        try (Stream<Path> listed = Files.list(directory)) {
            return listed.map(f -> f.getFileName().toString()).collect(Collectors.toSet());
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static void addNode(Set<String> nodes, String name) {
        try {
            nodes.add(
                    URLDecoder.decode(
                            name.substring(NODE_PREFIX.length()), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            // Not a file of this class: its name is no encoded node id.
            return;
        }
    }

    /**
     * Creates the directory if it does not exist, so that a later process can tell that a process
     * has run here. It is not synced; the first change syncs its name.
     */
    public void create() throws IOException {
        Files.createDirectories(directory);
    }

    /** Stores that a node is in maintenance, by a call made now. */
    public void startMaintenance(String node) throws IOException {
        startMaintenance(node, CallTime.now());
    }

    /**
     * Stores that a node is in maintenance; throws if that can't be stored or a later call has been
     * written.
     */
    public void startMaintenance(String node, CallTime call) throws IOException {
        writeState(nodeFile(node), true, call);
    }

    /** Removes a node's maintenance, by a call made now. */
    public void endMaintenance(String node) throws IOException {
        endMaintenance(node, CallTime.now());
    }

    /**
     * Removes a node's maintenance; throws if it could still be read afterwards or a later call has
     * been written.
     */
    public void endMaintenance(String node, CallTime call) throws IOException {
        writeState(nodeFile(node), false, call);
    }

    /** Stores that the operators' drain of the proxy has started or ended, by a call made now. */
    public void setDraining(boolean start) throws IOException {
        setDraining(start, CallTime.now());
    }

    /**
     * Stores that the operators' drain of the proxy has started or ended; throws if that can't be
     * stored or a later call has been written.
     */
    public void setDraining(boolean start, CallTime call) throws IOException {
        writeState(directory.resolve(DRAINED), start, call);
    }

    /**
     * Writes a state under the directory's lock, so that no other process writes between the check
     * for a later call and the end of this one.
     */
    private void writeState(Path file, boolean present, CallTime call) throws IOException {
        DurableFiles durable = prepareDirectory();
        try (DirectoryLock lock = DirectoryLock.acquire(directory)) {
            String state = file.getFileName().toString();
            Set<String> names = fileNames();
            if (markers.isSuperseded(names, state, call)) {
                throw new SupersededException(state);
            }
            change(durable, names, file, present);
            markers.record(durable, names, state, call);
            durable.sync(directory);
        }
    }

    private static void change(DurableFiles durable, Set<String> names, Path file, boolean present)
            throws IOException {
        // A name that the system rejects (too long) can't exist, so its removal must not fail.
        if (present) {
            durable.createUnsynced(file);
        } else if (names.contains(file.getFileName().toString())) {
            durable.deleteUnsynced(file);
        }
    }

    private DurableFiles prepareDirectory() throws IOException {
        if (files == null) {
            files = new DurableFiles(operations == null ? FileOperations.SYSTEM : operations);
            markers = new CallMarkers(directory);
        }
        if (!directorySynced || !Files.isDirectory(directory)) {
            directorySynced = false;
            files.createDirectory(directory);
            directorySynced = true;
        }
        return files;
    }

    private Path nodeFile(String node) {
        return directory.resolve(NODE_PREFIX + URLEncoder.encode(node, StandardCharsets.UTF_8));
    }
}
