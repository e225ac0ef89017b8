package cacheproxy.control;

import cacheproxy.common.InvalidInputException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLSocket;

/**
 * The address of an agent on another machine, and the folder with this side's credentials: {@code client.pem},
 * {@code client.key}, {@code agents.pem} (trusted) and optionally {@code token}.
 */
public final class TlsEndpoint {
    private final InetSocketAddress address;
    private final Path folder;

    /** Throws {@link InvalidInputException} if the address is malformed. */
    public TlsEndpoint(String address, Path folder) {
        this.address = NumericAddress.parse("--agent", address);
        this.folder = folder;
    }

    @Override
    public String toString() {
        return "tls:/" + address;
    }

    /** Connects, sends one request and returns its only reply, all within this time. */
    public Map<String, Object> call(Map<String, Object> request, long timeoutMs) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try (ControlClient client = open(timeoutMs)) {
            return client.exchange(request, deadlineNs);
        }
    }

    /** Connects and completes the handshake; throws IOException if that fails or the credentials are invalid. */
    public ControlClient open(long timeoutMs) throws IOException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try {
            Path tokenFile = folder.resolve("token");
            Tls.Credentials credentials = new Tls.Credentials(
                    credential("client.pem"),
                    credential("client.key"),
                    credential("agents.pem"),
                    Files.exists(tokenFile) ? credential("token") : null);
            String token = credentials.token() == null
                    ? null
                    : new String(Tls.readToken(credentials.token()), StandardCharsets.UTF_8);
            return new ControlClient(new TlsConnection(address, credentials, deadlineNs), token);
        } catch (InvalidInputException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private Tls.NamedFile credential(String name) {
        return new Tls.NamedFile(name, folder.resolve(name));
    }

    /** A blocking TLS connection; at a deadline another thread closes its socket, whichever call blocks on it. */
    private static final class TlsConnection implements ControlClient.Connection {
        private interface BlockingCall {
            int run() throws IOException;
        }

        private final Socket tcp = new Socket();
        private final SSLSocket socket;
        private final ScheduledExecutorService deadlines = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "tls-deadline");
            t.setDaemon(true);
            return t;
        });
        private volatile boolean timedOut;
        private boolean received;

        TlsConnection(InetSocketAddress address, Tls.Credentials credentials, long deadlineNs) throws IOException {
            SSLSocket created = null;
            try {
                var factory = Tls.clientContext(credentials).getSocketFactory();
                int remainingMs = (int) Math.min(
                        Integer.MAX_VALUE, Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime())));
                tcp.connect(address, remainingMs);
                tcp.setTcpNoDelay(true);
                tcp.setKeepAlive(true); // a machine that has crashed never closes its side
                String host = address.getAddress().getHostAddress();
                created = (SSLSocket) factory.createSocket(tcp, host, address.getPort(), true);
                SSLParameters parameters = created.getSSLParameters();
                parameters.setProtocols(new String[] {"TLSv1.3"});
                // the certificate must name this address; otherwise that of any agent with the same CA would be
                // accepted
                parameters.setEndpointIdentificationAlgorithm("HTTPS");
                created.setSSLParameters(parameters);
                SSLSocket handshaking = created;
                runUntil(deadlineNs, "no handshake in time", () -> {
                    handshaking.startHandshake();
                    return 0;
                });
            } catch (IOException | RuntimeException e) {
                close();
                throw e;
            }
            socket = created;
        }

        private int runUntil(long deadlineNs, String timeoutMessage, BlockingCall call) throws IOException {
            Future<?> timer = deadlines.schedule(
                    () -> {
                        timedOut = true;
                        tcp.close();
                        return null;
                    },
                    Math.max(0, deadlineNs - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
            try {
                int result = call.run();
                if (timedOut) {
                    throw new IOException(timeoutMessage);
                }
                return result;
            } catch (IOException e) {
                if (timedOut) {
                    throw new IOException(timeoutMessage, e);
                }
                // in TLS 1.3 the client finishes its handshake before the server has checked its certificate
                throw received || !(e instanceof SSLException)
                        ? e
                        : new IOException("the handshake is refused: " + e.getMessage(), e);
            } finally {
                timer.cancel(false);
            }
        }

        @Override
        public void write(ByteBuffer out, long deadlineNs, String timeoutMessage) throws IOException {
            try {
                runUntil(deadlineNs, timeoutMessage, () -> {
                    socket.getOutputStream().write(out.array(), out.position(), out.remaining());
                    return 0;
                });
            } catch (IOException e) {
                if (!timedOut && !received) {
                    read(
                            ByteBuffer.allocate(1),
                            deadlineNs,
                            timeoutMessage); // throws an exception with the server's TLS alert if it sent one
                }
                throw e;
            }
        }

        @Override
        public int read(ByteBuffer in, long deadlineNs, String timeoutMessage) throws IOException {
            int read = runUntil(
                    deadlineNs,
                    timeoutMessage,
                    () -> socket.getInputStream().read(in.array(), in.position(), in.remaining()));
            if (read > 0) {
                received = true;
                in.position(in.position() + read);
            }
            return read;
        }

        @Override
        public void close() throws IOException {
            deadlines.shutdownNow();
            tcp.close(); // not the TLS socket: its close_notify could block on a peer that reads nothing
        }
    }
}
