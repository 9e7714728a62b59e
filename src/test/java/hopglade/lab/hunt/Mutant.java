package hopglade.lab.hunt;

import hopglade.Decide;
import hopglade.Router;
import hopglade.Router.Settings;
import hopglade.lab.virtual.VirtualRun;
import java.io.IOException;
import java.net.URI;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;

/** The module with one line of its source changed, compiled anew and loaded beside the real one. */
final class Mutant {

    private Mutant() { }

    /** {@code original} must stand in the module's source once, or the mutant would be none. */
    static VirtualRun.Maker of(Path scratch, String original, String changed) throws IOException, ReflectiveOperationException {
        String source = Files.readString(Path.of("src/main/java/hopglade/Decide.java"));
        if (source.indexOf(original) < 0 || source.indexOf(original) != source.lastIndexOf(original)) {
            throw new IllegalArgumentException("stands not once in the module: " + original);
        }
        String text = source.replace(original, changed);
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        JavaFileObject unit = new SimpleJavaFileObject(URI.create("string:///hopglade/Decide.java"), JavaFileObject.Kind.SOURCE) {
            @Override
            public CharSequence getCharContent(boolean ignoreErrors) {
                return text;
            }
        };
        Path classes = Files.createTempDirectory(scratch, "mutant");
        boolean compiled = compiler.getTask(null, null, null, List.of("-d", classes.toString(), "-proc:none", "-cp",
                System.getProperty("java.class.path")), null, List.of(unit)).call();
        if (!compiled) {
            throw new IllegalArgumentException("does not compile: " + changed);
        }
        ClassLoader loader = new Beside(classes.toUri().toURL());
        var made = loader.loadClass(Decide.class.getName()).getConstructor(Settings.class, long.class);
        return (settings, seed) -> {
            try {
                return (Router) made.newInstance(settings, seed);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException("a mutant has the module's constructor", e);
            }
        };
    }

    /** Takes the module's own classes from the mutant and all else from the program. */
    private static final class Beside extends URLClassLoader {

        Beside(URL classes) {
            super(new URL[] {classes}, Decide.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith(Decide.class.getName())) {
                return super.loadClass(name, resolve);
            }
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : findClass(name);
        }
    }
}
