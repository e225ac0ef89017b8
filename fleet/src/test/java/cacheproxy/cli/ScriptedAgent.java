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
        void to(int nth, Map<String, Object> request, ControlServer.Reply reply);
    }

    final Path folder;
    final List<Map<String, Object>> requests = new CopyOnWriteArrayList<>();
    private final Map<String, ReplyScript> scripts = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ControlServer server;

    ScriptedAgent(Path folder) {
        this.folder = folder;
        server = ControlServer.open(loop, folder.resolve("agent.sock"), this::answer);
    }

    private void answer(String op, Map<String, Object> request, ControlServer.Reply reply) {
        requests.add(request);
        int nth = counts.computeIfAbsent(op, x -> new AtomicInteger()).getAndIncrement();
        ReplyScript answer = scripts.get(op);
        if (answer == null) {
            reply.fail("no such operation: " + op);
        } else {
            answer.to(nth, request, reply);
        }
    }

    ScriptedAgent on(String op, ReplyScript answer) {
        scripts.put(op, answer);
        return this;
    }

    ScriptedAgent replies(String op, Map<String, Object> reply) {
        return on(op, (nth, request, to) -> to.end(reply));
    }

    ScriptedAgent refuses(String op, String why) {
        return on(op, (nth, request, to) -> to.fail(why));
    }

    /** Replies to the nth list request with the nth list, and with the last one from then on. */
    @SafeVarargs
    final ScriptedAgent lists(List<Map<String, Object>>... each) {
        return on("list", (nth, request, to) -> to.end(listed(each[Math.min(nth, each.length - 1)])));
    }

    static Map<String, Object> listed(List<Map<String, Object>> instances) {
        Map<String, Object> o = new LinkedHashMap<>();
        o.put("site", "s");
        o.put("agentPid", 4711);
        o.put("instances", instances);
        return o;
    }

    static Map<String, Object> instance(String name, String state, Object... more) {
        Map<String, Object> o = new LinkedHashMap<>();
        o.put("name", name);
        o.put("state", state);
        o.put("wanted", true);
        o.put("forMs", 1500);
        o.put("start", 1);
        for (int i = 0; i < more.length; i += 2) {
            o.put(String.valueOf(more[i]), more[i + 1]);
        }
        return o;
    }

    List<Object> ops() {
        List<Object> ops = new ArrayList<>();
        requests.forEach(r -> ops.add(r.get("op")));
        return ops;
    }

    /** The last request of this operation. */
    Map<String, Object> last(String op) {
        return requests.stream()
                .filter(r -> op.equals(r.get("op")))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    /** Counts requests of this operation from now on; replies stay as before. */
    CountDownLatch awaited(String op, int times) {
        CountDownLatch latch = new CountDownLatch(times);
        ReplyScript before = scripts.get(op);
        on(op, (nth, request, to) -> {
            latch.countDown();
            before.to(nth, request, to);
        });
        return latch;
    }

    @Override
    public void close() {
        server.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
