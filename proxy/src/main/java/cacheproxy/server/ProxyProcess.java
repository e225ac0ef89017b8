package cacheproxy.server;

import cacheproxy.common.InvalidInputException;
import cacheproxy.configuration.HostEnvironment;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.control.InstanceLock;
import cacheproxy.eventloop.PollTimes;
import cacheproxy.logging.AsyncLogWriter;
import cacheproxy.logging.Log;
import cacheproxy.logging.NettyLoggerFactory;
import cacheproxy.upstream.CheckedSocketChannel;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.FastThreadLocalThread;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/** The process of one proxy, from start to exit code. */
public final class ProxyProcess {
    /**
     * The event loop ended, or the start failed with an unexpected exception; a process that serves no requests must
     * not look alive.
     */
    static final int EXIT_CODE_LOOP_ENDED = 70;
    /**
     * How long connections are still accepted after SIGTERM: longer than the 0.4 s for which clients go on connecting,
     * shorter than the 0.7 s after which the platform may cut off connections.
     */
    static final long DRAIN_OPEN_MS = 500;

    private static final long LOG_FLUSH_TIMEOUT_MS = 200;

    private final AsyncLogWriter writer = new AsyncLogWriter(System.err);
    private final Log log = new Log(System::nanoTime, writer, System.getenv(Log.LEVEL_VARIABLE));

    private final Function<PollTimes, IoHandlerFactory> io;
    /** Null if {@code LB_CONTROL} is not set. */
    private ControlChannel control;

    /**
     * @param io creates the event loop's I/O handler factory, which records its polls; called once signals and log are
     *     set up
     */
    ProxyProcess(Function<PollTimes, IoHandlerFactory> io) {
        this.io = io;
    }

    /**
     * Runs a proxy until SIGTERM or SIGINT, which end the process with exit code 0. Exit code 70: the event loop ended,
     * or the start failed with an unexpected exception outside the event loop; 2: the proxy cannot start for another
     * reason, such as an invalid configuration or an address in use, given on one line; 3: another process holds the
     * lock on its name.
     *
     * @param signals installed before this class is loaded, because loading takes time
     */
    public static void run(Map<String, String> env, ProcessSignals signals) {
        new ProxyProcess(PollTimes::recordedIo).runUntilSignal(env, signals);
    }

    void runUntilSignal(Map<String, String> env, ProcessSignals signals) {
        try {
            start(env, signals);
        } catch (InvalidInputException e) {
            writer.accept("cacheproxy: " + e.getMessage());
            exit(exitCodeFor(e));
        } catch (RuntimeException | Error e) {
            // exit explicitly: the event loop's thread would keep the process running
            writer.accept("cacheproxy: cannot start: " + e);
            exit(EXIT_CODE_LOOP_ENDED);
        }
    }

    /** The exit code of a process that could not start because of this exception. */
    public static int exitCodeFor(InvalidInputException cause) {
        return cause instanceof InstanceLock.HeldException ? InstanceLock.EXIT_CODE_HELD : 2;
    }

    private void start(Map<String, String> env, ProcessSignals signals) {
        signals.onTerm(() -> exit(0)); // nothing to answer yet: no request is accepted before the proxy listens
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory(log)); // before any Netty class is loaded
        control = ProxyConfiguration.hasControlChannel(env) ? ControlChannel.open(env) : null;
        ProxyConfiguration config = ProxyConfiguration.load(env);
        ThreadFactory thread = loopTask -> new FastThreadLocalThread(() -> exitWhenItEnds(loopTask), "loop");
        PollTimes pollTimes = new PollTimes();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, thread, io.apply(pollTimes)).next();
        HostEnvironment host = new HostEnvironment(
                CheckedSocketChannel::new,
                NioServerSocketChannel::new,
                System::currentTimeMillis,
                pollTimes::allReadUntilNs);
        ProxyServer proxy = ProxyServer.create(config, loop, host, log, router -> router);
        ConfigurationReloader reloader = new ConfigurationReloader(env, log, config, proxy::reload);
        if (control != null) {
            control.attach(proxy, loop);
            control.reloadWith(reloader);
        }
        proxy.warmUp();
        // set before the proxy listens, so that everything accepted is answered
        signals.onTerm(() -> new Thread(() -> drain(loop, proxy), "drain").start());
        if (control != null) {
            control.drainWith(signals::terminate);
        }
        proxy.open();
        signals.onHup(reloader::request);
    }

    private void exitWhenItEnds(Runnable loop) {
        Throwable cause = null;
        try {
            loop.run();
        } catch (Throwable failure) {
            cause = failure;
        } finally {
            log.line("the loop has ended, and the process with it" + (cause == null ? "" : ": " + cause));
            exit(EXIT_CODE_LOOP_ENDED);
        }
    }

    private void drain(EventLoop loop, ProxyServer proxy) {
        try {
            long shutdownNoticeNs = TimeUnit.MICROSECONDS.toNanos(proxy.shutdownNoticeUs());
            long endNs = System.nanoTime() + shutdownNoticeNs;
            // time-bounded, so that a hanging event loop cannot keep the process running
            Future<Void> drained =
                    loop.submit(() -> proxy.drain(DRAIN_OPEN_MS)).get(shutdownNoticeNs, TimeUnit.NANOSECONDS);
            boolean allAnswered = drained.await(endNs - System.nanoTime(), TimeUnit.NANOSECONDS);
            log.line(allAnswered ? "ended" : "exiting with requests open");
            if (control != null) {
                control.notifyDrained(allAnswered);
            }
        } catch (TimeoutException e) {
            log.line("exiting with requests open: the loop hangs");
        } catch (InterruptedException | ExecutionException e) {
            log.line("shutdown aborted: " + e);
        }
        exit(0);
    }

    private void exit(int code) {
        try {
            writer.flush(LOG_FLUSH_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(code);
    }
}
