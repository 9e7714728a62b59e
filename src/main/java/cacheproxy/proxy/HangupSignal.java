package cacheproxy.proxy;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * Handles SIGHUP, the conventional signal to reload a configuration; its default action ends the
 * process. The JVM's signal API is supported but not standard, so it is looked up by reflection:
 * the compiler warns about direct use.
 */
public final class HangupSignal {

    private HangupSignal() {}

    /**
     * Runs {@code reload} at each SIGHUP from now on, on a thread of the JVM. Returns false if the
     * process was started with the signal ignored, as under {@code nohup}: the JVM then keeps
     * ignoring it, and {@code reload} never runs.
     */
    public static boolean handle(Runnable reload) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            MethodHandles.Lookup lookup = MethodHandles.publicLookup();
            MethodHandle runReload =
                    lookup.findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
                            .bindTo(reload);
            Object handlerInstance =
                    MethodHandleProxies.asInterfaceInstance(
                            handlerClass, MethodHandles.dropArguments(runReload, 0, signalClass));
            Object previous =
                    signalClass
                            .getMethod("handle", signalClass, handlerClass)
                            .invoke(
                                    null,
                                    signalClass.getConstructor(String.class).newInstance("HUP"),
                                    handlerInstance);
            return previous != handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a SIGHUP handler", e);
        }
    }
}
