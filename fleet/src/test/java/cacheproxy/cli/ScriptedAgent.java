package cacheproxy.cli;

import cacheproxy.control.ControlServer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in agent that sends scripted replies and records the requests. */
final class ScriptedAgent implements Closeable {
    /** Replies to the nth request (from 0) of an operation. */
    interface ReplyScript {
        void send(int nth, Map<String, Object> request, ControlServer.Reply reply);
    }

    final Path folder;
    final List<Map<String, Object>> requests = new CopyOnWriteArrayList<>();
    private final Map<String, ReplyScript> scripts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ControlServer server;

    ScriptedAgent(Path folder) {
        this.folder = folder;
        server = ControlServer.open(loop, folder.resolve("agent.sock"), this::handleRequest);
    }

    private void handleRequest(String operation, Map<String, Object> request, ControlServer.Reply reply) {
        requests.add(request);
        int nth = counts.computeIfAbsent(operation, key -> new AtomicInteger()).getAndIncrement();
        ReplyScript script = scripts.get(operation);
        if (script == null) {
            reply.fail("no such operation: " + operation);
        } else {
            script.send(nth, request, reply);
        }
    }

    ScriptedAgent on(String operation, ReplyScript script) {
        scripts.put(operation, script);
        return this;
    }

    ScriptedAgent replies(String operation, Map<String, Object> reply) {
        return on(operation, (nth, request, responder) -> responder.end(reply));
    }

    ScriptedAgent refuses(String operation, String error) {
        return on(operation, (nth, request, responder) -> responder.fail(error));
    }

    /** Replies to the nth list request with the nth list, and with the last one from then on. */
    @SafeVarargs
    final ScriptedAgent listsInTurn(List<Map<String, Object>>... listings) {
        return on(
                "list",
                (nth, request, responder) -> responder.end(listed(listings[Math.min(nth, listings.length - 1)])));
    }

    static Map<String, Object> listed(List<Map<String, Object>> instances) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("site", "s");
        fields.put("agentPid", 4711);
        fields.put("instances", instances);
        return fields;
    }

    static Map<String, Object> instance(String name, String state, Object... namesAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("state", state);
        fields.put("wanted", true);
        fields.put("forMs", 1500);
        fields.put("start", 1);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.put(String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
        }
        return fields;
    }

    List<Object> operations() {
        List<Object> operations = new ArrayList<>();
        requests.forEach(request -> operations.add(request.get("op")));
        return operations;
    }

    /** The last request of this operation. */
    Map<String, Object> last(String operation) {
        return requests.stream()
                .filter(request -> operation.equals(request.get("op")))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    /** Counts requests of this operation from now on; replies stay as before. */
    CountDownLatch countRequests(String operation, int times) {
        CountDownLatch latch = new CountDownLatch(times);
        ReplyScript previous = scripts.get(operation);
        on(operation, (nth, request, responder) -> {
            latch.countDown();
            previous.send(nth, request, responder);
        });
        return latch;
    }

    @Override
    public void close() {
        server.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
