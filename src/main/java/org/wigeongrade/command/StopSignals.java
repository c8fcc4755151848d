package org.wigeongrade.command;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Routes SIGTERM and SIGINT: the first one begins a graceful stop, the next one ends the process. The JDK's signal class
 * is reached by reflection, since a shutdown hook never learns of a second signal. Safe for use from any thread.
 */
final class StopSignals {
    private static final List<String> NAMES = List.of("TERM", "INT");

    private StopSignals() {}

    /** Installs the handlers; {@code first} runs once, {@code next} on each later signal. */
    static void install(Runnable first, Runnable next) {
        final AtomicBoolean stopping = new AtomicBoolean();
        final InvocationHandler handler = (proxy, method, arguments) -> {
            if (!method.getName().equals("handle")) {
                return method.invoke(stopping, arguments);
            }
            (stopping.compareAndSet(false, true) ? first : next).run();
            return null;
        };
        NAMES.forEach(name -> handle(name, handler));
    }

    /** Installs the handler of SIGHUP; it runs on each one. */
    static void onHangUp(Runnable action) {
        handle("HUP", (proxy, method, arguments) -> {
            if (!method.getName().equals("handle")) {
                return method.invoke(action, arguments);
            }
            action.run();
            return null;
        });
    }

    private static void handle(String name, InvocationHandler handler) {
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
