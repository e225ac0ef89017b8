package cacheproxy.logging;

import cacheproxy.common.PrintableText;
import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Sends Netty's warnings and errors to the proxy's log. The JDK's logging opens files at its first line. If no file
 * descriptor is free, which is when Netty logs its first warning, that failed with an {@link Error} and ended the event
 * loop.
 */
public final class NettyLoggerFactory extends InternalLoggerFactory {
    private final Log log;

    /** Creates a factory, which must be set as the default before any other class of Netty is loaded. */
    public NettyLoggerFactory(Log log) {
        this.log = log;
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new Logger(name, log);
    }

    private static final class Logger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1L;

        private final transient Log log;

        Logger(String name, Log log) {
            super(name);
            this.log = log;
        }

        private void write(String message, Object... arguments) {
            StringBuilder line = new StringBuilder("netty: ").append(PrintableText.of(message));
            for (Object value : arguments) {
                line.append("; ").append(PrintableText.of(String.valueOf(value)));
            }
            log.line(line.toString());
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {
            // this level is not logged
        }

        @Override
        public void trace(String format, Object argument) {
            // this level is not logged
        }

        @Override
        public void trace(String format, Object first, Object second) {
            // this level is not logged
        }

        @Override
        public void trace(String format, Object... arguments) {
            // this level is not logged
        }

        @Override
        public void trace(String message, Throwable cause) {
            // this level is not logged
        }

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {
            // this level is not logged
        }

        @Override
        public void debug(String format, Object argument) {
            // this level is not logged
        }

        @Override
        public void debug(String format, Object first, Object second) {
            // this level is not logged
        }

        @Override
        public void debug(String format, Object... arguments) {
            // this level is not logged
        }

        @Override
        public void debug(String message, Throwable cause) {
            // this level is not logged
        }

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String message) {
            // this level is not logged
        }

        @Override
        public void info(String format, Object argument) {
            // this level is not logged
        }

        @Override
        public void info(String format, Object first, Object second) {
            // this level is not logged
        }

        @Override
        public void info(String format, Object... arguments) {
            // this level is not logged
        }

        @Override
        public void info(String message, Throwable cause) {
            // this level is not logged
        }

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            write(message);
        }

        @Override
        public void warn(String format, Object argument) {
            write(format, argument);
        }

        @Override
        public void warn(String format, Object first, Object second) {
            write(format, first, second);
        }

        @Override
        public void warn(String format, Object... arguments) {
            write(format, arguments);
        }

        @Override
        public void warn(String message, Throwable cause) {
            write(message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            write(message);
        }

        @Override
        public void error(String format, Object argument) {
            write(format, argument);
        }

        @Override
        public void error(String format, Object first, Object second) {
            write(format, first, second);
        }

        @Override
        public void error(String format, Object... arguments) {
            write(format, arguments);
        }

        @Override
        public void error(String message, Throwable cause) {
            write(message, cause);
        }
    }
}
