package cacheproxy.server;

import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Field;

/** Runs the proxy and prints which logger class Netty's event loop uses. */
final class NettyLoggerProbe {
    private NettyLoggerProbe() {}

    public static void main(String[] args) throws Exception {
        ProxyProcess.run(System.getenv(), ProcessSignals.install());
        Field loggerField = NioIoHandler.class.getDeclaredField("logger");
        loggerField.setAccessible(true);
        System.err.println("LOGGER " + loggerField.get(null).getClass().getName());
    }
}
