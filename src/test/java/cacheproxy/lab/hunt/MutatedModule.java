package cacheproxy.lab.hunt;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.Settings;
import cacheproxy.lab.virtual.VirtualRun;
import java.io.IOException;
import java.net.URI;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;

/**
 * The decision module with one change in its source, compiled and loaded in a class loader of its
 * own beside the original.
 */
final class MutatedModule {

    /**
     * The classes of the decision module in the package of its interface. They use package-private
     * members of one another, so all of them are compiled and loaded again.
     */
    private static final List<String> CLASSES =
            List.of(
                    "DecisionModule",
                    "HysteresisController",
                    "PendingRequest",
                    "SlowStartBudget",
                    "TokenBucket");

    private static final String PACKAGE = "cacheproxy";

    private MutatedModule() {}

    /**
     * Returns a factory of mutated modules.
     *
     * @param original source text that must occur exactly once in the module's sources
     * @param changed the text that replaces it
     */
    static VirtualRun.RouterFactory of(Path scratch, String original, String changed)
            throws IOException, ReflectiveOperationException {
        List<JavaFileObject> units = new ArrayList<>();
        int occurrences = 0;
        Pattern lines = anyLayout(original);
        for (String name : CLASSES) {
            String source = Files.readString(Path.of("src/main/java", PACKAGE, name + ".java"));
            Matcher found = lines.matcher(source);
            occurrences += (int) found.results().count();
            units.add(sourceUnit(name, found.replaceAll(Matcher.quoteReplacement(changed))));
        }
        if (occurrences != 1) {
            throw new IllegalArgumentException(
                    "found " + occurrences + " times in the module instead of once: " + original);
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        Path classes = Files.createTempDirectory(scratch, "mutant");
        boolean compiled =
                compiler.getTask(
                                null,
                                null,
                                null,
                                List.of(
                                        "-d",
                                        classes.toString(),
                                        "-proc:none",
                                        "-cp",
                                        System.getProperty("java.class.path")),
                                null,
                                units)
                        .call();
        if (!compiled) {
            throw new IllegalArgumentException("mutation does not compile: " + changed);
        }
        ClassLoader loader = new MutationClassLoader(classes.toUri().toURL());
        var constructor =
                loader.loadClass(DecisionModule.class.getName())
                        .getConstructor(Settings.class, long.class);
        return (settings, seed) -> {
            try {
                return (Router) constructor.newInstance(settings, seed);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("could not create the mutated module", e);
            }
        };
    }

    /** Finds {@code code} however its lines are broken and indented. */
    private static Pattern anyLayout(String code) {
        return Pattern.compile(
                Arrays.stream(code.split("\\s+"))
                        .map(Pattern::quote)
                        .collect(Collectors.joining("\\s+")));
    }

    private static JavaFileObject sourceUnit(String name, String source) {
        return new SimpleJavaFileObject(
                URI.create("string:///" + PACKAGE + "/" + name + ".java"),
                JavaFileObject.Kind.SOURCE) {
            @Override
            public CharSequence getCharContent(boolean ignoreErrors) {
                return source;
            }
        };
    }

    /** Loads the classes of the module from the mutation and all others from the program. */
    private static final class MutationClassLoader extends URLClassLoader {

        MutationClassLoader(URL classes) {
            super(new URL[] {classes}, DecisionModule.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (CLASSES.stream()
                    .noneMatch(
                            own ->
                                    name.equals(PACKAGE + "." + own)
                                            || name.startsWith(PACKAGE + "." + own + "$"))) {
                return super.loadClass(name, resolve);
            }
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : findClass(name);
        }
    }
}
