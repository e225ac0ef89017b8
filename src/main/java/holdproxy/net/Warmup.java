package holdproxy.net;

import holdproxy.Choice;
import holdproxy.Router;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;

/**
 * What a first burst of requests would find uncompiled, run before the proxy says that it is ready. On part
 * of a core the first clients, who come all at once, else wait for half a second. It works on channels
 * without sockets and on a module of its own; the proxy's own has seen nothing of it.
 */
final class Warmup implements Router.Actions {
    /** Compiled after 20 calls (the deploy file sets that); more for branches that not every round takes. */
    private static final int ROUNDS = 25;
    private static final long STEP_US = 10_000;

    private Warmup() {
    }

    static void run(Proxy proxy, Config config, Command.Names names) {
        new Warmup().rounds(proxy, config, names);
    }

    private void rounds(Proxy proxy, Config config, Command.Names names) {
        Budget budget = new Budget(1 << 20);
        Router.Settings settings = config.settings;
        Choice choice = new Choice(settings, config.seed, 0, this);
        Router.Node[] nodes = new Router.Node[8];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Router.Node();
            nodes[i].id = i;
        }
        choice.onNodes(0, Router.ListKind.FULL, nodes, nodes.length, this);
        String tenant = settings.tenants.length > 0 ? ",t=" + settings.tenants[0].name : "";
        String command = "mg 0123456789abcdef v O%d Pc=" + settings.classes[0].name + tenant + ",d=100\r\n";
        Router.Request request = new Router.Request();
        Router.Report report = new Router.Report();
        for (int i = 1; i <= ROUNDS; i++) {
            long now = i * STEP_US;
            EmbeddedChannel client = new EmbeddedChannel();
            Command.Decoder mine = new Command.Decoder(names, budget);
            client.pipeline().addLast(mine, new ClientSession(proxy, mine));
            client.writeInbound(bytes("mn\r\n"));
            client.finishAndReleaseAll();
            EmbeddedChannel reader = new EmbeddedChannel(new Command.Decoder(names, budget));
            reader.writeInbound(bytes(String.format(command, i)));
            if (reader.readInbound() instanceof Command c) {
                c.encode(UnpooledByteBufAllocator.DEFAULT, STEP_US).release();
                c.fill(request);
                request.id = i;
                request.dueUs = now + STEP_US;
                request.key = i;
                choice.onRequest(now, request, this);
            }
            EmbeddedChannel server = new EmbeddedChannel(new Answer.Decoder(budget));
            server.writeInbound(bytes("VA 5 O" + i + " h1 Lutil=0.5\r\nhello\r\n"));
            if (server.readInbound() instanceof Answer a) {
                a.report(report);
                a.encode().release();
                choice.onOutcome(now + STEP_US, i, 0, Router.Outcome.OK, STEP_US, true, a.note, report, this);
            }
            reader.finishAndReleaseAll();
            server.finishAndReleaseAll();
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void send(long request, int to, long timeoutUs) {
        // nowhere
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        // nobody asked
    }

    @Override
    public void fail(long request) {
        // nobody asked
    }

    @Override
    public void cancel(long request, int attempt) {
        // nothing is out
    }

    @Override
    public void timer(long delayUs, long label) {
        // its time never comes
    }

    @Override
    public void probe(int to) {
        // none is there
    }

    @Override
    public void closeIdle(int to) {
        // none is open
    }

    @Override
    public void subscribe() {
        // the list is made up
    }

    @Override
    public void fetchNodes() {
        // the list is made up
    }

    @Override
    public void tell(int router, byte[] data) {
        // nobody listens
    }

    @Override
    public void log(String line) {
        // nothing happens here that anyone should know
    }
}
