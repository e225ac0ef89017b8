package cacheproxy.lab.verification;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One response parsed from a recorded byte stream, sent by a node to a proxy or by a proxy to a client. */
final class RecordedResponse {
    enum Kind {
        VALUE,
        RECEIPT,
        GREETING,
        REJECTED,
        OTHER,
        MALFORMED
    }

    Kind kind = Kind.OTHER;
    final int startOffset;
    int endOffset;
    boolean complete;
    /** The first line without its line end, as far as it was received. */
    String line;

    String id;
    String receipt;
    int valueFrom;
    int valueTo;
    /** The Retry-After of a rejection, in ms; negative if none. */
    int retryAfterMs = -1;

    private RecordedResponse(int startOffset) {
        this.startOffset = startOffset;
    }

    /** Parses all responses; an incomplete or malformed one is the last of the list. Nodes may append a load report. */
    static List<RecordedResponse> read(byte[] bytes, boolean fromNode) {
        List<RecordedResponse> out = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            RecordedResponse response = new RecordedResponse(at);
            out.add(response);
            response.parse(bytes, fromNode);
            if (!response.complete) {
                break;
            }
            at = response.endOffset;
        }
        return out;
    }

    private void parse(byte[] bytes, boolean fromNode) {
        int end = lineEnd(bytes, startOffset);
        endOffset = end < 0 ? bytes.length : end + 1;
        boolean crlf = end > startOffset && bytes[end - 1] == '\r';
        int length = end < 0 ? bytes.length - startOffset : end - startOffset - (crlf ? 1 : 0);
        line = new String(bytes, startOffset, length, StandardCharsets.ISO_8859_1);
        if (end < 0) {
            return;
        }
        if (!crlf) {
            kind = Kind.MALFORMED;
            return;
        }
        complete = true;
        String[] tokens = line.split(" ");
        switch (tokens.length == 0 ? "" : tokens[0]) {
            case "VA" -> parseValue(bytes, tokens);
            case "HD" -> {
                parseFlags(tokens, 1);
                kind = id != null && receipt != null ? Kind.RECEIPT : Kind.OTHER;
            }
            case "MN" -> kind = tokens.length == 1 ? Kind.GREETING : Kind.OTHER;
            case "SERVER_ERROR" -> parseRejection(tokens, fromNode);
            default -> {}
        }
    }

    private void parseValue(byte[] bytes, String[] tokens) {
        int size = tokens.length < 2 ? -1 : number(tokens[1]);
        kind = size < 0 ? Kind.MALFORMED : Kind.VALUE;
        if (size < 0) {
            complete = false;
            return;
        }
        parseFlags(tokens, 2);
        valueFrom = endOffset;
        valueTo = endOffset + size;
        complete = bytes.length >= valueTo + 2;
        endOffset = Math.min(bytes.length, valueTo + 2);
        for (int i = valueTo; i < endOffset; i++) {
            if (bytes[i] != "\r\n".charAt(i - valueTo)) {
                complete = false;
                kind = Kind.MALFORMED;
            }
        }
    }

    private void parseFlags(String[] tokens, int first) {
        for (int i = first; i < tokens.length; i++) {
            if (tokens[i].startsWith("O") && tokens[i].length() > 1) {
                id = tokens[i].substring(1);
            } else if (tokens[i].startsWith("c") && tokens[i].length() > 1) {
                receipt = tokens[i].substring(1);
            }
        }
    }

    private void parseRejection(String[] tokens, boolean fromNode) {
        int count = tokens.length;
        if (fromNode && count > 2 && tokens[count - 1].startsWith("L")) {
            count--;
        }
        int retryAfter = count == 3 ? number(tokens[2]) : -1;
        if (count >= 2 && tokens[1].equals("busy") && (count == 2 || count == 3 && retryAfter >= 0)) {
            kind = Kind.REJECTED;
            retryAfterMs = retryAfter;
        }
    }

    /** The offset of the line feed that ends the line beginning at {@code from}, negative if there is none. */
    static int lineEnd(byte[] bytes, int startOffset) {
        for (int i = startOffset; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                return i;
            }
        }
        return -1;
    }

    /** Parses a decimal number of at most nine digits; negative if it is not one. */
    static int number(String text) {
        if (text.isEmpty() || text.length() > 9) {
            return -1;
        }
        int out = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            out = 10 * out + digit;
        }
        return out;
    }
}
