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
 * Entry point. {@code serve} runs a proxy, {@code benchlink} runs the decision module behind the
 * simulator's wire protocol, and {@code rehearse} starts a proxy and stops it at once. These three
 * are parsed by hand, so that a start on a fraction of a core does not load the command-line
 * library; everything else is passed to {@link cacheproxy.cli.Cli}.
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
            // As serve does, so that the class archive contains the classes that this loads.
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
                    "usage: java -jar cache-proxy.jar serve|benchlink|rehearse, or ./flintmill");
            return EXIT_USAGE;
        }
    }

    private static void serve(String optionsFile) throws InterruptedException {
        // Installed before the proxy can report ready: without a handler SIGHUP ends the process.
        CompletableFuture<Service> started = new CompletableFuture<>();
        Map<String, String> environment = System.getenv();
        Runnable reload = () -> started.thenAccept(s -> s.reload(environment));
        ConfigFileWatch configWatch =
                HangupSignal.handle(reload) ? null : new ConfigFileWatch(environment);
        // SIGTERM runs this hook. The process ends when the hook returns, so the hook waits until
        // every request is answered. If it runs before clients can connect, no answer is owed and
        // the startup is cancelled.
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
                    "flintmill: --options needs the command-line libraries: use ./flintmill serve");
            System.exit(EXIT_FAILED);
        }
        started.complete(service);
        if (configWatch != null) {
            service.reloadOnChange(configWatch, reload);
        }
        service.awaitTermination();
    }
}
