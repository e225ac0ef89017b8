package cacheproxy.lab.verification;

import java.util.ArrayList;
import java.util.List;

/** One command of a client at a proxy, with its response and the attempts that the proxy made for it. */
final class ClientRequest {
    final RecordedConnection connection;
    final RecordedRequest command;
    final byte[] bytes;
    /** Entries of the record: first byte arrived at the proxy, last byte sent by the client, last byte arrived. */
    final int firstByteArrived;

    final int sent;
    final int arrived;
    RuleSettings.RequestClass requestClass;
    RuleSettings.Effect effect = RuleSettings.Effect.SAFE;
    /** Whether it is well formed and complete and nothing malformed preceded it, so that the proxy must respond. */
    boolean responseExpected;
    /** Whether the proxy closed the connection while the request was on its way, so that it was never accepted. */
    boolean crossedClose;

    RecordedResponse response;
    byte[] responseBytes;
    /** Entries of the record: first byte of the response sent, last byte sent, last byte arrived at the client. */
    int responseFirstByteSent = Trace.NEVER;

    int responseSent = Trace.NEVER;
    int responseArrived = Trace.NEVER;
    /** Whether a violation was already reported when the response was matched. */
    boolean mismatched;

    final List<Attempt> attempts = new ArrayList<>();

    ClientRequest(RecordedConnection connection, RecordedRequest command, byte[] bytes, RecordedStream stream) {
        this.connection = connection;
        this.command = command;
        this.bytes = bytes;
        firstByteArrived = stream.arrivedEntry(command.startOffset);
        sent = command.complete ? stream.sentEntry(command.endOffset - 1) : Trace.NEVER;
        arrived = command.complete ? stream.arrivedEntry(command.endOffset - 1) : Trace.NEVER;
    }

    boolean wellFormed() {
        return command.kind == RecordedRequest.Kind.REQUEST && requestClass != null;
    }

    String describe() {
        String what = wellFormed() ? requestClass.name() + " " + command.id : "a command";
        return what + " of " + connection.hosts[0] + " at " + connection.proxy;
    }
}
