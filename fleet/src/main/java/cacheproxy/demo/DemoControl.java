package cacheproxy.demo;

import cacheproxy.control.ControlServer;
import cacheproxy.control.InstanceLock;
import cacheproxy.control.ProcessIdentity;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadFactory;

/** The control channel of a demo node or demo discovery, with the operations that an agent needs to supervise it. */
final class DemoControl implements ControlServer.RequestHandler {
    private final Map<String, Object> identity;
    private final String secret;
    private final InstanceLock lock;

    private DemoControl(Map<String, String> env, Path socket) {
        String name = env.getOrDefault("LB_NAME", "demo");
        identity = ProcessIdentity.current(name);
        secret = env.getOrDefault("LB_SECRET", "");
        ControlServer.checkSocketPath(socket);
        lock = InstanceLock.acquire(name, socket.resolveSibling(socket.getFileName() + ".lock"));
        ThreadFactory threadFactory = task -> {
            Thread thread = new Thread(task, "control");
            thread.setDaemon(true);
            return thread;
        };
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, threadFactory, NioIoHandler.newFactory()).next();
        ControlServer.open(loop, socket, this);
    }

    /** Opens the control channel if LB_CONTROL names its socket. */
    static void openIfConfigured(Map<String, String> env) {
        String path = env.getOrDefault("LB_CONTROL", "");
        if (!path.isBlank()) {
            new DemoControl(env, Path.of(path));
        }
    }

    static InetSocketAddress listen(Map<String, String> env) {
        String address = env.getOrDefault("LB_LISTEN", "127.0.0.1:0");
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    @Override
    public void handle(String operation, Map<String, Object> request, ControlServer.Reply reply) {
        switch (operation) {
            case "hello" -> ProcessIdentity.answerHello(identity, secret, request, reply);
            case "status" -> {
                Map<String, Object> status = new LinkedHashMap<>(identity);
                status.put("phase", lock.isHeld() ? "ready" : "starting");
                reply.end(status);
            }
            default -> reply.fail("no such operation: " + operation);
        }
    }
}
