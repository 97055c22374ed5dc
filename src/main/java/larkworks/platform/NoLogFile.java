package larkworks.platform;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Found by Logback in place of its own search for files and defaults, which costs each start: the logs are
 * set up by {@link Logs}, and until then there are none.
 */
public final class NoLogFile extends ContextAwareBase implements Configurator {

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
