package cacheproxy.demo;

import cacheproxy.common.InvalidInputException;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Stand-in discovery of a local site: serves a fixed list of cache nodes, as a single response or as a watch. */
public final class DemoDiscovery {
    private static final int MAX_CALLS = 64;
    private static final long KEEPALIVE_MS = 2_000;

    private final String list;

    private DemoDiscovery(String list) {
        this.list = list;
    }

    /** Serves until the process ends. Each of {@code nodes} has the form ID=ADDRESS:PORT. */
    public static void run(Map<String, String> env, List<String> nodes) throws IOException {
        List<String> entries = new ArrayList<>();
        for (String node : nodes) {
            int separator = node.indexOf('=');
            if (separator <= 0 || !node.substring(separator + 1).matches("[0-9.]+:\\d{1,5}")) {
                throw new InvalidInputException("a node is ID=ADDRESS:PORT, not " + node);
            }
            String id = node.substring(0, separator).replaceAll("[^A-Za-z0-9._-]", "");
            entries.add("{\"id\":\"" + id + "\",\"addr\":\"" + node.substring(separator + 1) + "\","
                    + "\"zone\":\"local\",\"kind\":\"demo\",\"cell\":1,"
                    + "\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}");
        }
        DemoDiscovery discovery =
                new DemoDiscovery("{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}");
        DemoControl.openIfConfigured(env);
        HttpServer server = HttpServer.create(DemoControl.listen(env), MAX_CALLS);
        server.createContext("/registry/instances", discovery::answer);
        server.setExecutor(new ThreadPoolExecutor(0, MAX_CALLS, 10, TimeUnit.SECONDS, new SynchronousQueue<>()));
        server.start();
    }

    private void answer(HttpExchange exchange) throws IOException {
        byte[] body = (list + "\n").getBytes(StandardCharsets.UTF_8);
        String query = exchange.getRequestURI().getQuery();
        if (query == null || !query.contains("stream=1")) {
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
            return;
        }
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
            while (true) {
                out.flush();
                Thread.sleep(KEEPALIVE_MS);
                out.write('\n');
            }
        } catch (IOException e) {
            // the proxy closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
