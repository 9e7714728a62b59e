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
 * The nodes that are out, and whether the proxy is drained, as one empty file for each: the old and
 * the new process of an upgrade see one another's, a change of one is whole or not made, and none
 * can undo another's. Its name says all, so there is nothing in it to be damaged. A change holds
 * once its call has returned; these calls wait for the disk and must come from one thread at a
 * time, off the event loop. A change that is made late, as its write failed at first, gives way to
 * a later call that any process has written meanwhile ({@link CallMarkers}).
 */
public final class MaintenanceFiles {

    private static final String NODE_PREFIX = "out-";
    private static final String DRAINED = "drained";

    /** What is kept: the nodes that are out, and whether the proxy is drained. */
    public record MaintenanceState(Set<String> nodes, boolean drained) {}

    private final Path directory;

    /** Null for the machine's own. */
    private final FileOperations operations;

    /** Null before the first change: a process that reads alone needs no more classes. */
    private DurableFiles files;

    /** Null as long as {@code files} is. */
    private CallMarkers markers;

    /** Whether the folder's own name is known to be on the disk. */
    private boolean directorySynced;

    public MaintenanceFiles(Path directory) {
        this(directory, null);
    }

    /** With file operations that a test lets fail. */
    public MaintenanceFiles(Path directory, FileOperations operations) {
        this.directory = directory;
        this.operations = operations;
    }

    /**
     * What is kept now; throws where that can't be told, as without a free descriptor: nobody may
     * take it for nothing.
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
            // Another's file: it names no node.
            return;
        }
    }

    /**
     * Makes the folder if it is not there: whoever starts later can tell that a process has run
     * here. Without a sync; the first change syncs its name.
     */
    public void create() throws IOException {
        Files.createDirectories(directory);
    }

    /** Keeps that a node is out, by a call made now. */
    public void startMaintenance(String node) throws IOException {
        startMaintenance(node, CallTime.now());
    }

    /** Keeps that a node is out; throws where it can't be kept or a later call has been written. */
    public void startMaintenance(String node, CallTime call) throws IOException {
        writeState(nodeFile(node), true, call);
    }

    /** Forgets that a node is out, by a call made now. */
    public void endMaintenance(String node) throws IOException {
        endMaintenance(node, CallTime.now());
    }

    /**
     * Forgets that a node is out; throws where it would be read again or a later call has been
     * written.
     */
    public void endMaintenance(String node, CallTime call) throws IOException {
        writeState(nodeFile(node), false, call);
    }

    /** Keeps that the operators empty the proxy, or that this is over, by a call made now. */
    public void setDraining(boolean start) throws IOException {
        setDraining(start, CallTime.now());
    }

    /**
     * Keeps that the operators empty the proxy, or that this is over; throws where it can't be kept
     * or a later call has been written.
     */
    public void setDraining(boolean start, CallTime call) throws IOException {
        writeState(directory.resolve(DRAINED), start, call);
    }

    /** No other process may write between the look for a later call and the end of this one. */
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
        // A name that the system would never take must not fail a call that wants it gone.
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
