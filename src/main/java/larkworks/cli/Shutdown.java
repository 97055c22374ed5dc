package larkworks.cli;

import larkworks.platform.Logs;
import org.slf4j.LoggerFactory;

/** Ends a service at SIGTERM: the JVM waits for it. */
final class Shutdown {

    private Shutdown() { }

    static void hook(AutoCloseable service) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                service.close();
            } catch (Exception e) {
                LoggerFactory.getLogger("shutdown").error("the service did not end cleanly", e);
            } finally {
                Logs.stop();
            }
        }));
    }
}
