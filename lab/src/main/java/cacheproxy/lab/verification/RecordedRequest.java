package cacheproxy.lab.verification;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One command parsed from a recorded byte stream, sent by a client to a proxy or by a proxy to a node. */
final class RecordedRequest {
    enum Kind {
        REQUEST,
        GREETING,
        LOAD_REPORT,
        MALFORMED
    }

    Kind kind = Kind.MALFORMED;
    /** Byte offsets of the command in its stream; an incomplete command ends where the stream does. */
    final int startOffset;

    int endOffset;
    boolean complete;
    /** Whether nothing after this command can be parsed. */
    boolean desynchronized;

    String verb;
    String key;
    String id;
    int valueFrom;
    int valueTo;
    /** All request classes that it names; more than one only in a malformed command. */
    final List<String> classes = new ArrayList<>();
    /** The idempotency key; null if there is none or more than one. */
    String idempotencyKey;
    /** The client's timeout, in ms; negative if not stated. */
    int clientTimeoutMs = -1;
    /** Whether a field occurs twice, so that readers may differ on its value. */
    boolean ambiguous;

    private RecordedRequest(int startOffset) {
        this.startOffset = startOffset;
    }

    /** Parses all commands; an incomplete one at the end is the last of the list. */
    static List<RecordedRequest> read(byte[] bytes, int longestLine, int largestValue) {
        List<RecordedRequest> out = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            RecordedRequest request = new RecordedRequest(at);
            out.add(request);
            request.parse(bytes, longestLine, largestValue);
            if (!request.complete || request.desynchronized) {
                break;
            }
            at = request.endOffset;
        }
        return out;
    }

    private void parse(byte[] bytes, int longestLine, int largestValue) {
        int end = RecordedResponse.lineEnd(bytes, startOffset);
        if ((end < 0 ? bytes.length : end) - startOffset > longestLine) {
            desynchronize(bytes.length);
            return;
        }
        if (end < 0) {
            endOffset = bytes.length;
            return;
        }
        int length = end - startOffset;
        length -= length > 0 && bytes[end - 1] == '\r' ? 1 : 0;
        String[] tokens = new String(bytes, startOffset, length, StandardCharsets.ISO_8859_1).split(" ");
        verb = tokens.length == 0 ? "" : tokens[0];
        endOffset = end + 1;
        complete = true;
        switch (verb) {
            case "mn" -> kind = tokens.length == 1 ? Kind.GREETING : Kind.MALFORMED;
            case "stats" -> kind = Kind.LOAD_REPORT;
            case "mg" -> parseFlags(tokens, 2);
            case "ms" -> {
                int size = tokens.length < 3 ? -1 : RecordedResponse.number(tokens[2]);
                if (size < 0 || size > largestValue) {
                    desynchronize(bytes.length);
                    return;
                }
                parseFlags(tokens, 3);
                valueFrom = endOffset;
                valueTo = endOffset + size;
                complete = bytes.length >= valueTo + 2;
                endOffset = Math.min(bytes.length, valueTo + 2);
                if (complete && (bytes[valueTo] != '\r' || bytes[valueTo + 1] != '\n')) {
                    desynchronize(bytes.length);
                }
            }
            default -> {}
        }
    }

    private void desynchronize(int end) {
        kind = Kind.MALFORMED;
        desynchronized = true;
        endOffset = end;
    }

    private void parseFlags(String[] tokens, int first) {
        key = tokens.length > 1 ? tokens[1] : "";
        int idFlags = 0;
        int policyFlags = 0;
        int keyFields = 0;
        int timeoutFields = 0;
        for (int i = first; i < tokens.length; i++) {
            if (tokens[i].startsWith("O")) {
                idFlags++;
                id = tokens[i].substring(1);
            } else if (tokens[i].startsWith("P")) {
                policyFlags++;
                for (String field : tokens[i].substring(1).split(",")) {
                    String text = field.substring(field.indexOf('=') + 1);
                    switch (field.substring(0, field.length() - text.length())) {
                        case "c=" -> classes.add(text);
                        case "k=" -> {
                            keyFields++;
                            idempotencyKey = text;
                        }
                        case "d=" -> {
                            timeoutFields++;
                            clientTimeoutMs = RecordedResponse.number(text);
                        }
                        default -> {}
                    }
                }
            }
        }
        ambiguous = idFlags > 1 || policyFlags > 1 || classes.size() > 1 || keyFields > 1 || timeoutFields > 1;
        idempotencyKey = keyFields == 1 && !idempotencyKey.isEmpty() ? idempotencyKey : null;
        if (idFlags > 0 && !id.isEmpty() && !key.isEmpty() && !classes.isEmpty()) {
            kind = Kind.REQUEST;
        }
    }
}
