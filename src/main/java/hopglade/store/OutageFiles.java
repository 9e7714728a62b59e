package hopglade.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The nodes that are out, and whether the proxy is drained, as one empty file for each: the old and the new process of an
 * upgrade see one another's, a change of one is whole or not made, and none can undo another's. Its name says all, so there is
 * nothing in it to be damaged.
 */
public final class OutageFiles {

    private static final String PREFIX = "out-";
    private static final String DRAINED = "drained";

    /** What is kept: the nodes that are out, and whether the proxy is drained. */
    public record Kept(Set<String> out, boolean drained) { }

    private final Path folder;

    public OutageFiles(Path folder) {
        this.folder = folder;
    }

    /** What is kept now; throws where that can't be told, as without a free descriptor: nobody may take it for nothing. */
    public Kept read() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            Set<String> names = files.map(f -> f.getFileName().toString()).collect(Collectors.toSet());
            Set<String> out = new HashSet<>();
            names.stream().filter(n -> n.startsWith(PREFIX)).forEach(n -> add(out, n));
            return new Kept(out, names.contains(DRAINED));
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

    /** Makes the folder if it is not there: whoever starts later can tell that a process has run here. */
    public void create() throws IOException {
        Files.createDirectories(folder);
    }

    /** Keeps that a node is out; throws where it can't be kept. */
    public void begin(String node) throws IOException {
        mark(file(node));
    }

    /** Forgets that a node is out; throws where it would be read again. */
    public void end(String node) throws IOException {
        Files.deleteIfExists(file(node));
    }

    /** Keeps that the operators empty the proxy, or that this is over. */
    public void drain(boolean begins) throws IOException {
        if (begins) {
            mark(folder.resolve(DRAINED));
        } else {
            Files.deleteIfExists(folder.resolve(DRAINED));
        }
    }

    private void mark(Path file) throws IOException {
        create();
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            return;
        }
    }

    private Path file(String node) {
        return folder.resolve(PREFIX + URLEncoder.encode(node, StandardCharsets.UTF_8));
    }
}
