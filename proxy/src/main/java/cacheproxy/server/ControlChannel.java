package cacheproxy.server;

import cacheproxy.common.InvalidInputException;
import cacheproxy.common.PrintableText;
import cacheproxy.configuration.FieldReader;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.control.ControlServer;
import cacheproxy.control.InstanceLock;
import cacheproxy.control.ProcessIdentity;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The control channel of one proxy, off unless {@code LB_CONTROL} names its socket. While it is on, the process holds a
 * lock on the proxy's name, in a file next to the socket. It has its own event loop, and requests the status from the
 * proxy's event loop at most every 100 ms.
 *
 * <p>Operations: {@code hello} with a {@code nonce}, which proves the identity by {@code LB_SECRET}; {@code status},
 * {@code reload} and {@code drain}. The keys of the replies are part of the protocol.
 */
final class ControlChannel implements ControlServer.RequestHandler {
    private static final long STATUS_TTL_MS = 100;
    /** If the proxy's event loop does not reply for this long, the status is {@code stalled}. */
    private static final long STALLED_AFTER_MS = 800;

    private static final long PROGRESS_INTERVAL_MS = 200;
    private static final long LAST_REPLY_TIMEOUT_MS = 200;

    private final String name;
    private final String secret;
    private final EventLoop loop;
    private final ControlServer server;
    private final InstanceLock lock;
    private final Map<String, Object> identity;
    private final List<ControlServer.Reply> pendingStatus = new ArrayList<>();
    private final List<ControlServer.Reply> pendingDrains = new ArrayList<>();
    private volatile ProxyServer proxy;
    private volatile EventLoop proxyLoop;
    private volatile ConfigurationReloader reload;
    private volatile Runnable drain;
    private Map<String, Object> lastStatus = Map.of();
    private long statusAtNs;
    private boolean statusRequested;
    private long statusRequestedNs;
    private boolean progressScheduled;

    private ControlChannel(Map<String, String> env, Path path) {
        name = FieldReader.variable(env, "LB_NAME");
        secret = env.getOrDefault("LB_SECRET", "");
        ControlServer.checkSocketPath(path);
        lock = InstanceLock.acquire(name, path.resolveSibling(path.getFileName() + ".lock"));
        identity = ProcessIdentity.current(name);
        loop = new MultiThreadIoEventLoopGroup(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "control");
                            thread.setDaemon(true);
                            return thread;
                        },
                        NioIoHandler.newFactory())
                .next();
        statusAtNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(STATUS_TTL_MS);
        server = ControlServer.open(loop, path, this);
    }

    /** Opens the channel; called only if {@link ProxyConfiguration#hasControlChannel} is true. */
    static ControlChannel open(Map<String, String> env) {
        String text = FieldReader.variable(env, ProxyConfiguration.CONTROL_SOCKET_VARIABLE);
        Path path;
        try {
            path = Path.of(text);
        } catch (IllegalArgumentException e) {
            path = null;
        }
        if (path == null || path.getFileName() == null) {
            throw new InvalidInputException(
                    ProxyConfiguration.CONTROL_SOCKET_VARIABLE + " is not a path: " + PrintableText.of(text));
        }
        return new ControlChannel(env, path);
    }

    /** Sets the proxy whose status is reported. */
    void attach(ProxyServer attachedProxy, EventLoop attachedLoop) {
        proxyLoop = attachedLoop;
        proxy = attachedProxy;
    }

    void reloadWith(ConfigurationReloader reloader) {
        reload = reloader;
    }

    /** Sets the task that begins the graceful shutdown; it must not block. */
    void drainWith(Runnable task) {
        drain = task;
    }

    /** Replies to all pending drain requests, because the process is about to end. */
    void notifyDrained(boolean all) {
        Future<?> replied = loop.submit(() -> {
            pendingDrains.forEach(drainReply -> drainReply.end(Map.of("done", true, "all", all)));
            pendingDrains.clear();
        });
        replied.awaitUninterruptibly(LAST_REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        loop.submit(server::close).awaitUninterruptibly(LAST_REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    boolean isLockHeld() {
        return lock.isHeld();
    }

    @Override
    public void handle(String op, Map<String, Object> request, ControlServer.Reply reply) {
        switch (op) {
            case "hello" -> ProcessIdentity.answerHello(identity, secret, request, reply);
            case "status" -> status(reply);
            case "reload" -> reload(reply);
            case "drain" -> drain(reply);
            default ->
                reply.fail("no such operation: " + PrintableText.of(op) + "; there are hello, status, reload, drain");
        }
    }

    private void status(ControlServer.Reply reply) {
        if (proxy == null) {
            reply(reply, Map.of("phase", "starting"));
        } else if (System.nanoTime() - statusAtNs < TimeUnit.MILLISECONDS.toNanos(STATUS_TTL_MS)) {
            reply(reply, lastStatus);
        } else {
            pendingStatus.add(reply);
            requestStatus();
            replyIfStalled();
        }
    }

    /** Replies {@code stalled} to pending status requests if the proxy's event loop has not replied for too long. */
    private void replyIfStalled() {
        long unresponsiveMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - statusRequestedNs);
        if (statusRequested && unresponsiveMs >= STALLED_AFTER_MS) {
            replyToAll(Map.of("phase", "stalled", "stalledMs", unresponsiveMs));
        }
    }

    private void requestStatus() {
        if (statusRequested) {
            return;
        }
        statusRequested = true;
        statusRequestedNs = System.nanoTime();
        Future<Map<String, Object>> statusFuture = proxyLoop.submit(proxy::status);
        statusFuture.addListener(future -> loop.execute(() -> {
            statusRequested = false;
            if (future.isSuccess()) {
                lastStatus = statusFuture.getNow();
                statusAtNs = System.nanoTime();
                replyToAll(lastStatus);
            } else {
                replyToAll(Map.of("phase", "faulty", "fault", String.valueOf(future.cause())));
            }
        }));
        loop.schedule(this::replyIfStalled, STALLED_AFTER_MS, TimeUnit.MILLISECONDS);
    }

    private void replyToAll(Map<String, Object> statusFields) {
        pendingStatus.forEach(statusReply -> reply(statusReply, statusFields));
        pendingStatus.clear();
    }

    private void reply(ControlServer.Reply reply, Map<String, Object> statusFields) {
        Map<String, Object> all = new LinkedHashMap<>(identity);
        all.putAll(statusFields);
        ConfigurationReloader reloader = reload;
        if (reloader != null) {
            all.put("configuration", configuration(reloader.last()));
            if (reloader.lastRefused() != null) {
                all.put("refused", configuration(reloader.lastRefused()));
            }
        }
        reply.end(all);
    }

    private static Map<String, Object> configuration(ConfigurationReloader.Result result) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("generation", result.generation());
        fields.put("digest", result.digest());
        if (result.refused() != null) {
            fields.put("reason", result.refused());
        }
        if (!result.needRestart().isEmpty()) {
            fields.put("needRestart", result.needRestart());
        }
        return fields;
    }

    private void reload(ControlServer.Reply reply) {
        ConfigurationReloader reloader = reload;
        if (reloader == null) {
            reply.fail("it has not started yet");
            return;
        }
        reloader.reload(result -> {
            if (result.refused() != null) {
                reply.fail(result.refused());
            } else {
                reply.end(configuration(result));
            }
        });
    }

    private void drain(ControlServer.Reply reply) {
        Runnable task = drain;
        if (task == null) {
            reply.fail("it has not started yet");
            return;
        }
        pendingDrains.add(reply);
        task.run();
        if (!progressScheduled) {
            progressScheduled = true;
            progress();
        }
    }

    private void progress() {
        pendingDrains.removeIf(drainReply -> !drainReply.isOpen());
        if (pendingDrains.isEmpty()) {
            progressScheduled = false;
            return;
        }
        Future<Map<String, Object>> progressStatus = proxyLoop.submit(proxy::status);
        progressStatus.addListener(future -> loop.execute(() -> {
            if (future.isSuccess()) {
                Map<String, Object> currentStatus = progressStatus.getNow();
                pendingDrains.forEach(drainReply -> drainReply.part(
                        Map.of("open", currentStatus.get("open"), "clients", currentStatus.get("clients"))));
            }
        }));
        loop.schedule(this::progress, PROGRESS_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
