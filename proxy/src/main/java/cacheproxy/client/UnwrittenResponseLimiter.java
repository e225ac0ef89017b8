package cacheproxy.client;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/**
 * Decides which connection gives way when the unwritten responses of all connections exceed their limit. The order
 * spares clients that take their responses: first a client that takes nothing loses its connection, then responses that
 * wait behind a pending one become failures, and only then a client that takes its responses loses its connection. Of
 * several candidates it is the one that holds the most bytes. Used on the event loop only.
 */
final class UnwrittenResponseLimiter {
    /** A client that has taken no response for this long counts as one that takes nothing. */
    private static final long TAKES_NOTHING_US = 100_000;

    private final Supplier<Stream<ClientSession>> openSessions;

    UnwrittenResponseLimiter(Supplier<Stream<ClientSession>> openSessions) {
        this.openSessions = openSessions;
    }

    /** Releases responses until {@code exceeded} is false or none is left. */
    void reduce(long nowUs, BooleanSupplier exceeded) {
        while (exceeded.getAsBoolean() && reduceOnce(nowUs)) {
            // one connection gives way in each round
        }
    }

    private boolean reduceOnce(long nowUs) {
        Optional<ClientSession> takesNothing =
                largest(responses -> responses.takesNothingSince(nowUs - TAKES_NOTHING_US), ResponseQueue::heldBytes);
        if (takesNothing.isPresent()) {
            takesNothing.get().closeForUnwrittenResponses();
            return true;
        }
        Optional<ClientSession> waits = largest(ResponseQueue::hasResponseToFail, ResponseQueue::waitingBytes);
        if (waits.isPresent()) {
            waits.get().responses().failWaiting();
            return true;
        }
        Optional<ClientSession> holds = largest(responses -> responses.heldBytes() > 0, ResponseQueue::heldBytes);
        holds.ifPresent(ClientSession::closeForUnwrittenResponses);
        return holds.isPresent();
    }

    private Optional<ClientSession> largest(Predicate<ResponseQueue> candidate, ToLongFunction<ResponseQueue> bytes) {
        return openSessions
                .get()
                .filter(session -> candidate.test(session.responses()))
                .max(Comparator.comparingLong(session -> bytes.applyAsLong(session.responses())));
    }
}
