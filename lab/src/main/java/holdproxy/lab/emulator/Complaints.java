package holdproxy.lab.emulator;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * What Netty only logs, as what a listener or the last handler throws, is a fault of the world that runs.
 */
final class Complaints extends Handler {
    /** Held here, since loggers that nobody holds are collected along with their handlers. */
    private static final Logger NETTY = Logger.getLogger("io.netty");
    /** Says when the collector comes by what it found, which may be in another world. */
    private static final String LEAKS = "io.netty.util.ResourceLeakDetector";

    static {
        NETTY.addHandler(new Complaints());
        NETTY.setUseParentHandlers(false);
    }

    private Complaints() {
    }

    /** Loads this class. */
    static void listen() {
    }

    @Override
    public void publish(LogRecord record) {
        World world = World.running();
        if (world == null) {
            NETTY.getParent().log(record);
        } else if (record.getLevel().intValue() >= Level.WARNING.intValue()
                && !LEAKS.equals(record.getLoggerName())) {
            world.fault(new AssertionError("logged: " + record.getMessage(), record.getThrown()));
        }
    }

    @Override
    public void flush() {
    }

    @Override
    public void close() {
    }
}
