package larkworks.proxy;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, at which the JVM would exit. The JDK offers {@code sun.misc.Signal} alone for it, of which
 * the compiler warns wherever it is named; hence the reflection.
 */
final class HangUp {

    private HangUp() { }

    /** Runs the action at each SIGHUP from now on, on a thread of the JVM's. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling = Proxy.newProxyInstance(HangUp.class.getClassLoader(), new Class<?>[] {handler},
                    (self, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), handling);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be handled here", e);
        }
    }
}
