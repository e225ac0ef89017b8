package holdproxy.net;

import holdproxy.BadInput;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import sun.misc.Signal;

/**
 * SIGHUP: the configuration is read again and what may change in it is handed over. Left to the JVM, the
 * signal would end the proxy. Reading a file may block, so it is done on a thread of its own, one file after
 * the other: of two signals close together the later file is the one that stays.
 */
final class Reload {
    private final Map<String, String> env;
    private final Log log;
    private final Consumer<Config> taker;
    private final ExecutorService reader = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "reload");
        t.setDaemon(true); // a file that can't be read to its end must not hold up the end of the proxy
        return t;
    });

    /** {@code taker} is called on the reading thread. */
    Reload(Map<String, String> env, Log log, Consumer<Config> taker) {
        this.env = env;
        this.log = log;
        this.taker = taker;
    }

    void onSignal() {
        Signal.handle(new Signal("HUP"), s -> request());
    }

    void request() {
        reader.execute(this::read);
    }

    private void read() {
        try {
            taker.accept(Config.reload(env));
        } catch (BadInput e) {
            log.line("the new configuration is not taken, the old one stays: " + e.getMessage());
        } catch (RuntimeException e) {
            log.line("the new configuration is not taken, the old one stays: " + e);
        }
    }
}
