package cacheproxy.server;

import cacheproxy.common.InvalidInputException;
import cacheproxy.configuration.ProxyConfiguration;
import cacheproxy.logging.Log;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reloads the configuration on SIGHUP or on request of the control channel, and reports the result to the requester.
 * Reading a file may block, so a dedicated thread does it, one reload at a time: of two reloads close together the
 * later file wins. Methods may be called on any thread.
 */
final class ConfigurationReloader {
    private static final int MAX_QUEUED_SIGNALS = 2;

    /** The result of a reload; {@code refused} is the reason for refusing it, null if the configuration was applied. */
    record Result(int generation, String digest, String refused, List<String> needRestart) {}

    private final Map<String, String> env;
    private final Log log;
    private final ProxyConfiguration started;
    private final Consumer<ProxyConfiguration> target;
    private Result last;
    private Result lastRefused;
    private final ExecutorService executor =
            new ThreadPoolExecutor(0, 1, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                Thread thread = new Thread(task, "reload");
                thread.setDaemon(true); // a read that never ends must not keep the process running
                return thread;
            });
    private int queuedSignals;
    /** Callbacks of reload requests whose reload has not begun. */
    private List<Consumer<Result>> pendingCallbacks = new ArrayList<>();

    /**
     * @param started the configuration that the proxy started with
     * @param target receives each valid configuration, on the reload thread
     */
    ConfigurationReloader(
            Map<String, String> env, Log log, ProxyConfiguration started, Consumer<ProxyConfiguration> target) {
        this.env = env;
        this.log = log;
        this.started = started;
        this.target = target;
        last = new Result(1, started.digest(), null, List.of());
    }

    /** Reloads after a signal; ignored while enough signals are queued, since they would read the same file. */
    void request() {
        synchronized (this) {
            if (queuedSignals >= MAX_QUEUED_SIGNALS) {
                return;
            }
            queuedSignals++;
        }
        executor.execute(() -> {
            synchronized (this) {
                queuedSignals--;
            }
            read();
        });
    }

    /** Reloads and passes the result to {@code callback} on the reload thread; pending requests share one reload. */
    void reload(Consumer<Result> callback) {
        synchronized (this) {
            pendingCallbacks.add(callback);
            if (pendingCallbacks.size() > 1) {
                return;
            }
        }
        executor.execute(this::reloadRequested);
    }

    private void reloadRequested() {
        List<Consumer<Result>> callbacks;
        synchronized (this) {
            callbacks = pendingCallbacks;
            pendingCallbacks = new ArrayList<>();
        }
        Result result = read();
        callbacks.forEach(callback -> callback.accept(result));
    }

    /** The reload that produced the configuration in use. */
    synchronized Result last() {
        return last;
    }

    /** The last refused reload; null if there was none. */
    synchronized Result lastRefused() {
        return lastRefused;
    }

    private Result read() {
        String digest = null;
        try {
            String text = ProxyConfiguration.readFile(env);
            digest = ProxyConfiguration.digest(env, text);
            List<String> changedFields = apply(ProxyConfiguration.reload(env, text), started, log, target);
            synchronized (this) {
                last = new Result(last.generation + 1, digest, null, changedFields);
                return last;
            }
        } catch (RuntimeException | Error failure) {
            String reason = failure instanceof InvalidInputException ? failure.getMessage() : failure.toString();
            log.line("the new configuration is not taken, the old one stays: " + reason);
            synchronized (this) {
                lastRefused = new Result(last.generation, digest, reason, List.of());
                return lastRefused;
            }
        }
    }

    /** Applies a valid configuration; returns the fields whose change needs a restart. */
    static List<String> apply(
            ProxyConfiguration newConfiguration,
            ProxyConfiguration started,
            Log log,
            Consumer<ProxyConfiguration> target) {
        target.accept(newConfiguration);
        List<String> changedFields = started.differences(newConfiguration);
        log.line("configuration taken: discovery at " + NetUtil.toSocketAddressString(newConfiguration.discovery)
                + (changedFields.isEmpty() ? "" : "; needs a restart: " + String.join(", ", changedFields)));
        return changedFields;
    }
}
