package org.wigeongrade.command;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Handles SIGTERM and SIGINT: the first one begins a graceful stop, the next one ends the process. Uses the JDK's
 * signal class by reflection, since a shutdown hook is not told of a second signal. Safe for use from any thread.
 */
final class StopSignals {
    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

    private static final AtomicBoolean HELD_SIGHUP = new AtomicBoolean();

    private StopSignals() {}

    /**
     * Installs the handlers of SIGTERM and SIGINT; {@code onFirstSignal} runs once, {@code onLaterSignal} on each later
     * signal.
     */
    static void install(Runnable onFirstSignal, Runnable onLaterSignal) {
        final AtomicBoolean stopping = new AtomicBoolean();
        final InvocationHandler handler = (proxy, method, arguments) -> {
            if (!method.getName().equals("handle")) {
                return method.invoke(stopping, arguments);
            }
            (stopping.compareAndSet(false, true) ? onFirstSignal : onLaterSignal).run();
            return null;
        };
        STOP_SIGNALS.forEach(name -> installHandler(name, handler));
    }

    /** Holds a SIGHUP until {@link #onSighup}; without a handler, it would end a process that is still starting. */
    static void holdSighup() {
        installSighupHandler(() -> HELD_SIGHUP.set(true));
    }

    /** Installs a handler that runs on each SIGHUP, and now if one was held. */
    static void onSighup(Runnable action) {
        installSighupHandler(action);
        if (HELD_SIGHUP.getAndSet(false)) {
            action.run();
        }
    }

    private static void installSighupHandler(Runnable action) {
        installHandler("HUP", (proxy, method, arguments) -> {
            if (!method.getName().equals("handle")) {
                return method.invoke(action, arguments);
            }
            action.run();
            return null;
        });
    }

    private static void installHandler(String name, InvocationHandler handler) {
        try {
            final Class<?> signal = Class.forName("sun.misc.Signal");
            final Class<?> signalHandler = Class.forName("sun.misc.SignalHandler");
            final Object proxy =
                    Proxy.newProxyInstance(StopSignals.class.getClassLoader(), new Class<?>[] {signalHandler}, handler);
            signal.getMethod("handle", signal, signalHandler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("signal " + name + " cannot be handled on this JVM", e);
        }
    }
}
