package cacheproxy.lab.simulation;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxy;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import org.slf4j.LoggerFactory;

/**
 * Reports warnings that Netty only logs, such as exceptions of listeners, as errors of the running simulation. Netty
 * logs through SLF4J if that is present, whichever class was loaded first.
 */
final class UncaughtErrors extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** Reports during garbage collection, possibly of another simulation. */
    private static final String LEAKS = "io.netty.util.ResourceLeakDetector";

    private static final Logger ROOT;

    static {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        ROOT = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        UncaughtErrors all = new UncaughtErrors();
        all.setContext(context);
        all.start();
        Logger netty = context.getLogger("io.netty");
        netty.addAppender(all);
        netty.setAdditive(false);
    }

    private UncaughtErrors() {}

    /** Loads this class, which installs the appender. */
    static void listen() {}

    @Override
    protected void append(ILoggingEvent event) {
        SimulationScheduler scheduler = SimulationScheduler.running();
        if (scheduler == null) {
            ROOT.callAppenders(event);
        } else if (event.getLevel().isGreaterOrEqual(Level.WARN) && !LEAKS.equals(event.getLoggerName())) {
            Throwable thrown = event.getThrowableProxy() instanceof ThrowableProxy p ? p.getThrowable() : null;
            scheduler.fault(new AssertionError("logged: " + event.getFormattedMessage(), thrown));
        }
    }
}
