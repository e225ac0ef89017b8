package cacheproxy.lab.verification;

/** One attempt of a request: a command that a proxy sent to a node. */
final class Attempt {
    final RecordedConnection connection;
    final RecordedRequest command;
    /** The node's host name in the record; {@link #nodeId} is its id in the endpoint list. */
    final String node;

    final String nodeId;
    /** Entries of the record: first byte sent, last byte sent, last byte arrived at the node. */
    final int firstByteSent;

    final int sent;
    final int arrived;
    /** The client's request; null if no client sent it. */
    ClientRequest request;

    /** The response that the proxy had to attribute to this attempt; null if none came. */
    RecordedResponse response;

    int responseSent = Trace.NEVER;
    int responseArrived = Trace.NEVER;
    /** Whether no response without an id, and none out of order, preceded it on the connection. */
    boolean unambiguous;
    /** The first entry in which the node reports that it executed the command. */
    int executed = Trace.NEVER;

    Attempt(RecordedConnection connection, RecordedRequest command, String nodeId, RecordedStream stream) {
        this.connection = connection;
        this.command = command;
        this.node = connection.hosts[1];
        this.nodeId = nodeId;
        firstByteSent = stream.sentEntry(command.startOffset);
        sent = command.complete ? stream.sentEntry(command.endOffset - 1) : Trace.NEVER;
        arrived = command.complete ? stream.arrivedEntry(command.endOffset - 1) : Trace.NEVER;
    }

    /** Whether the whole command arrived at the node. */
    boolean complete() {
        return arrived != Trace.NEVER;
    }

    /**
     * Whether the proxy could know at an entry that the node had rejected this attempt without executing it. An
     * ambiguous rejection, which may belong to another request, counts only if the node's own record confirms it: sent
     * after the command had arrived, and no execution reported. An unambiguous one counts even if the node lied.
     */
    boolean knownNotExecuted(int entry) {
        boolean nodeConfirms = executed == Trace.NEVER && responseSent != Trace.NEVER && responseSent > arrived;
        return response != null
                && response.kind == RecordedResponse.Kind.REJECTED
                && responseArrived < entry
                && (unambiguous || nodeConfirms);
    }

    /** Whether the node rejected it and executed it nevertheless. */
    boolean falselyRejected() {
        return complete()
                && response != null
                && response.kind == RecordedResponse.Kind.REJECTED
                && unambiguous
                && executed != Trace.NEVER;
    }

    /** What the proxy knew about this attempt at an entry, for messages. */
    String knowledgeAt(int entry) {
        if (responseArrived >= entry) {
            return connection.peerCloseSeen(0) < entry ? "its connection broke" : "no answer yet";
        }
        return switch (response.kind) {
            case REJECTED -> unambiguous ? "busy" : "a busy that may be another request's";
            case VALUE, RECEIPT -> "served";
            default -> "\"" + response.line + "\"";
        };
    }

    String groundTruth() {
        return executed != Trace.NEVER ? "it ran" : "the node tells of no effect";
    }
}
