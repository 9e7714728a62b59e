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
 * The module with one line of its sources changed, compiled anew and loaded beside the real one.
 */
final class MutatedModule {

    /**
     * The module's classes in the package of its interface; they see one another's package-private
     * parts, so all are loaded anew.
     */
    private static final List<String> CLASSES =
            List.of(
                    "Decide",
                    "HysteresisController",
                    "PendingRequest",
                    "SlowStartBudget",
                    "TokenBucket");

    private static final String PACKAGE = "cacheproxy";

    private MutatedModule() {}

    /** {@code original} must stand in the module's sources once, or the mutant would be none. */
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
            throw new IllegalArgumentException("stands not once in the module: " + original);
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
            throw new IllegalArgumentException("does not compile: " + changed);
        }
        ClassLoader loader = new MutationClassLoader(classes.toUri().toURL());
        var constructor =
                loader.loadClass(DecisionModule.class.getName())
                        .getConstructor(Settings.class, long.class);
        return (settings, seed) -> {
            try {
                return (Router) constructor.newInstance(settings, seed);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("a mutant has the module's constructor", e);
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

    /** Takes the module's own classes from the mutant and all else from the program. */
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
