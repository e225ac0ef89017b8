package cacheproxy.server;

import cacheproxy.client.ClientRequest;
import cacheproxy.client.ClientSession;
import cacheproxy.client.ResponseSlot;
import cacheproxy.memcache.MetaCommand;
import cacheproxy.upstream.Attempt;
import cacheproxy.upstream.ClientState;
import cacheproxy.upstream.UpstreamRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** An accepted request: its command, the slot for its response, and its attempts. Used on the event loop only. */
final class RequestExchange implements UpstreamRequest, ClientRequest {
    final long id;
    final MetaCommand command;
    final ClientSession session;
    final ResponseSlot slot;
    /** Deadline of the response, on the event loop's clock. */
    final long dueUs;

    final boolean idempotent;
    final List<Attempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean answered;
    /** Fails the request some time after its deadline if the router has left it unanswered. */
    Future<?> overdueTimer;

    private final RequestExchanges exchanges;

    RequestExchange(
            RequestExchanges exchanges,
            long id,
            MetaCommand command,
            ClientSession session,
            ResponseSlot slot,
            long dueUs,
            boolean idempotent) {
        this.exchanges = exchanges;
        this.id = id;
        this.command = command;
        this.session = session;
        this.slot = slot;
        this.dueUs = dueUs;
        this.idempotent = idempotent;
    }

    @Override
    public long id() {
        return id;
    }

    @Override
    public MetaCommand command() {
        return command;
    }

    @Override
    public boolean isIdempotent() {
        return idempotent;
    }

    @Override
    public boolean isAnswered() {
        return answered;
    }

    @Override
    public ClientState clientState() {
        return session.clientState();
    }

    @Override
    public void clientClosed() {
        exchanges.clientClosed(this);
    }
}
