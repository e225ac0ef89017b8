package cacheproxy.memcache;

import cacheproxy.limits.ByteBudget;
import java.util.List;

/** Decodes what a client sends into {@link MetaCommand}, {@link MetaNoOp} and {@link ProtocolError} messages. */
public final class MetaCommandDecoder extends MetaProtocolDecoder {
    private static final int MAX_VALUE_BYTES = 64 << 10;

    private final MetaCommandParser parser;
    /** The write whose value is being received; null if its line had an error. */
    private MetaCommand pendingWrite;
    /** The error in the line of a write, reported after its value was received; null if there was none. */
    private String pendingError;

    /** {@code budget}: shared by the values that are being received from all clients. */
    public MetaCommandDecoder(RequestNames names, ByteBudget budget) {
        super(MAX_VALUE_BYTES, budget);
        parser = new MetaCommandParser(names);
    }

    @Override
    protected int onLine(String line, List<Object> out) {
        String[] tokens = line.split(" ");
        String verb = tokens.length == 0 ? "" : tokens[0];
        boolean write = verb.equals("ms");
        if (line.equals("mn")) {
            out.add(new MetaNoOp());
        } else if (!write && !verb.equals("mg")) {
            out.add(new ProtocolError("ERROR", false));
        } else if (tokens.length < (write ? 3 : 2)) {
            out.add(new ProtocolError("CLIENT_ERROR bad command line format", write));
        } else if (write) {
            parseWrite(line, tokens);
            return parseNumber(tokens[2]);
        } else {
            parseRead(line, tokens, out);
        }
        return NO_BLOCK;
    }

    private void parseRead(String line, String[] tokens, List<Object> out) {
        try {
            out.add(parser.parse(line, tokens, false));
        } catch (BadCommandException e) {
            out.add(new ProtocolError("CLIENT_ERROR " + e.getMessage(), false));
        }
    }

    private void parseWrite(String line, String[] tokens) {
        pendingWrite = null;
        pendingError = null;
        try {
            pendingWrite = parser.parse(line, tokens, true);
        } catch (BadCommandException e) {
            pendingError = "CLIENT_ERROR " + e.getMessage();
        }
    }

    @Override
    protected void onBlock(byte[] bytes, List<Object> out) {
        if (pendingError != null) {
            out.add(new ProtocolError(pendingError, false));
        } else {
            pendingWrite.value(bytes);
            out.add(pendingWrite);
        }
        pendingWrite = null;
    }

    @Override
    protected void onFramingLost(String reason, List<Object> out) {
        pendingWrite = null;
        out.add(new ProtocolError("CLIENT_ERROR " + reason, true));
    }
}
