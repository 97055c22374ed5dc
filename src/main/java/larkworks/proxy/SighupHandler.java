package larkworks.proxy;

import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP, at which the JVM would otherwise exit. The JDK offers only
 * {@code sun.misc.Signal} for this. The compiler warns at each mention of that class, so it is used by
 * reflection.
 */
final class SighupHandler {

    private SighupHandler() { }

    /** Runs the action at each SIGHUP from now on, on one of the JVM's own threads. */
    static void install(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(),
                    new Class<?>[] {handlerClass}, (self, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null,
                    signalClass.getConstructor(String.class).newInstance("HUP"), handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("can't install a handler for SIGHUP: sun.misc.Signal failed", e);
        }
    }
}
