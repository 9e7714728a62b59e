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
public final class OutageFiles {

    private static final String PREFIX = "out-";
    private static final String DRAINED = "drained";

    /** What is kept: the nodes that are out, and whether the proxy is drained. */
    public record Kept(Set<String> out, boolean drained) {}

    private final Path folder;

    /** Null for the machine's own. */
    private final FileOperations operations;

    /** Null before the first change: a process that reads alone needs no more classes. */
    private DurableFiles files;

    /** Null as long as {@code files} is. */
    private CallMarkers markers;

    /** Whether the folder's own name is known to be on the disk. */
    private boolean folderSynced;

    public OutageFiles(Path folder) {
        this(folder, null);
    }

    /** With file operations that a test lets fail. */
    public OutageFiles(Path folder, FileOperations operations) {
        this.folder = folder;
        this.operations = operations;
    }

    /**
     * What is kept now; throws where that can't be told, as without a free descriptor: nobody may
     * take it for nothing.
     */
    public Kept read() throws IOException {
        Set<String> names = names();
        Set<String> out = new HashSet<>();
        names.stream().filter(n -> n.startsWith(PREFIX)).forEach(n -> add(out, n));
        return new Kept(out, names.contains(DRAINED));
    }

    private Set<String> names() throws IOException {
        try (Stream<Path> listed = Files.list(folder)) {
            return listed.map(f -> f.getFileName().toString()).collect(Collectors.toSet());
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static void add(Set<String> out, String name) {
        try {
            out.add(URLDecoder.decode(name.substring(PREFIX.length()), StandardCharsets.UTF_8));
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
        Files.createDirectories(folder);
    }

    /** Keeps that a node is out, by a call made now. */
    public void begin(String node) throws IOException {
        begin(node, CallTime.now());
    }

    /** Keeps that a node is out; throws where it can't be kept or a later call has been written. */
    public void begin(String node, CallTime call) throws IOException {
        keep(file(node), true, call);
    }

    /** Forgets that a node is out, by a call made now. */
    public void end(String node) throws IOException {
        end(node, CallTime.now());
    }

    /**
     * Forgets that a node is out; throws where it would be read again or a later call has been
     * written.
     */
    public void end(String node, CallTime call) throws IOException {
        keep(file(node), false, call);
    }

    /** Keeps that the operators empty the proxy, or that this is over, by a call made now. */
    public void drain(boolean begins) throws IOException {
        drain(begins, CallTime.now());
    }

    /**
     * Keeps that the operators empty the proxy, or that this is over; throws where it can't be kept
     * or a later call has been written.
     */
    public void drain(boolean begins, CallTime call) throws IOException {
        keep(folder.resolve(DRAINED), begins, call);
    }

    /** No other process may write between the look for a later call and the end of this one. */
    private void keep(Path file, boolean there, CallTime call) throws IOException {
        DurableFiles durable = inFolder();
        try (FolderLock lock = FolderLock.acquire(folder)) {
            String state = file.getFileName().toString();
            Set<String> names = names();
            if (markers.isSuperseded(names, state, call)) {
                throw new SupersededException(state);
            }
            change(durable, names, file, there);
            markers.record(durable, names, state, call);
            durable.sync(folder);
        }
    }

    private static void change(DurableFiles durable, Set<String> names, Path file, boolean there)
            throws IOException {
        // A name that the system would never take must not fail a call that wants it gone.
        if (there) {
            durable.createUnsynced(file);
        } else if (names.contains(file.getFileName().toString())) {
            durable.deleteUnsynced(file);
        }
    }

    private DurableFiles inFolder() throws IOException {
        if (files == null) {
            files = new DurableFiles(operations == null ? FileOperations.SYSTEM : operations);
            markers = new CallMarkers(folder);
        }
        if (!folderSynced || !Files.isDirectory(folder)) {
            folderSynced = false;
            files.createFolder(folder);
            folderSynced = true;
        }
        return files;
    }

    private Path file(String node) {
        return folder.resolve(PREFIX + URLEncoder.encode(node, StandardCharsets.UTF_8));
    }
}
