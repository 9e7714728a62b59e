package cacheproxy;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Options;
import cacheproxy.config.OptionsFile;
import cacheproxy.proxy.Config;
import cacheproxy.proxy.ConfigException;
import cacheproxy.proxy.ConfigFileWatch;
import cacheproxy.proxy.HangupSignal;
import cacheproxy.proxy.Log;
import cacheproxy.proxy.Service;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Starts the program: {@code serve} is one real proxy, {@code benchlink} the same decisions on the
 * bench's wire, {@code rehearse} a start that ends at once. These three are taken apart by hand, so
 * that a start on part of a core pays nothing for the command line; everything else goes to {@link
 * cacheproxy.cli.Cli}.
 */
public final class Main {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_CONFIG = 2;
    private static final int EXIT_USAGE = 64;

    private Main() {}

    public static void main(String[] args)
            throws IOException, InterruptedException, ConfigException {
        String command = args.length == 0 ? "" : args[0];
        if (command.equals("serve")
                && (args.length == 1 || args.length == 3 && args[1].equals("--options"))) {
            serve(args.length == 1 ? null : args[2]);
        } else if (command.equals("rehearse") && args.length == 1) {
            // As serve does, so that the class archive holds what that loads.
            Log.configure(Options.DEFAULTS.log());
            Service.rehearse();
        } else if (command.equals("benchlink") && args.length == 1) {
            cacheproxy.benchlink.Main.main(args);
        } else {
            System.exit(runCommandLineTool(args));
        }
    }

    private static int runCommandLineTool(String[] args) {
        Log.configure(Options.DEFAULTS.log());
        try {
            return cacheproxy.cli.Cli.run(args);
        } catch (NoClassDefFoundError e) {
            System.err.println(
                    "usage: java -jar cache-proxy.jar serve|benchlink|rehearse; ./flintmill knows further commands");
            return EXIT_USAGE;
        }
    }

    private static void serve(String optionsFile) throws InterruptedException {
        // Before the first client can be told that the proxy is ready: without a handler SIGHUP
        // ends the process.
        CompletableFuture<Service> started = new CompletableFuture<>();
        Map<String, String> environment = System.getenv();
        Runnable reload = () -> started.thenAccept(s -> s.reload(environment));
        ConfigFileWatch configWatch =
                HangupSignal.handle(reload) ? null : new ConfigFileWatch(environment);
        // SIGTERM runs this hook; the process ends when the hook does, so it waits until nothing is
        // owed. One that comes before
        // clients can, finds nothing owed and forbids that they ever do.
        CompletableFuture<Service> startup = new CompletableFuture<>();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    if (!startup.cancel(false)) {
                                        startup.join().shutDown();
                                    }
                                },
                                "drain"));
        Service service = null;
        try {
            Options options =
                    optionsFile == null ? Options.DEFAULTS : OptionsFile.read(Path.of(optionsFile));
            Log.configure(options.log());
            service = Service.start(Config.fromEnvironment(environment), options, startup);
            if (optionsFile != null) {
                service.useOptions(() -> OptionsFile.read(Path.of(optionsFile)), options);
            }
        } catch (ConfigException | BadFileException e) {
            System.err.println("flintmill: configuration: " + e.getMessage());
            System.exit(EXIT_CONFIG);
        } catch (IOException | IllegalStateException e) {
            System.err.println("flintmill: " + e.getMessage());
            System.exit(EXIT_FAILED);
        } catch (NoClassDefFoundError e) {
            System.err.println(
                    "flintmill: --options needs the tools beside the program: start it by ./flintmill serve");
            System.exit(EXIT_FAILED);
        }
        started.complete(service);
        if (configWatch != null) {
            service.reloadOnChange(configWatch, reload);
        }
        service.awaitTermination();
    }
}
