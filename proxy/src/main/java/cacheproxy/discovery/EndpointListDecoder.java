package cacheproxy.discovery;

import cacheproxy.common.InvalidInputException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/**
 * Decodes the response body of a call to discovery into endpoint lists, which are JSON objects that arrive in chunks of
 * any length.
 *
 * <p>The body is fed to the parser line by line. If an object cannot be parsed, the rest of its line is skipped and
 * decoding continues with the next line, because that may announce a drain.
 */
final class EndpointListDecoder {
    /** Receives the results; called from within {@link #decode}. */
    interface Output {
        void listDecoded(Map<String, Object> list);

        /** A list could not be decoded and was skipped; called before the next one is decoded. */
        void listSkipped(String reason);
    }

    static final String TRUNCATED = "endpoint list skipped: truncated";

    /** 3,200 entries with long ids, indented, take 1 MiB. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** The start of a list that is written on one line; no entry within a list starts like this. */
    private static final byte[] LIST_START = "{\"version\"".getBytes(StandardCharsets.UTF_8);

    private final Output output;
    private final JsonObjectStream jsonObjects = new JsonObjectStream();
    /** The bytes received so far of a list that is incomplete. */
    private int listBytes;

    private int endedLists;
    /** Whether the rest of the current line is skipped, because an object in it could not be parsed. */
    private boolean skippingLine;

    private boolean stopped;

    EndpointListDecoder(Output output) {
        this.output = output;
    }

    /**
     * Decodes a chunk; stops early once {@link #stop} is called or a list is too long.
     *
     * @return false if a list is larger than {@link #MAX_LIST_BYTES}; nothing may be decoded after that
     */
    boolean decode(byte[] bytes) {
        for (int start = 0; start < bytes.length && !stopped; ) {
            int lineEnd = start;
            while (lineEnd < bytes.length && bytes[lineEnd] != '\n') {
                lineEnd++;
            }
            boolean lineComplete = lineEnd < bytes.length;
            int nextStart = lineComplete ? lineEnd + 1 : lineEnd;
            if (!skippingLine) {
                decodeLine(bytes, start, nextStart);
                if (listBytes > MAX_LIST_BYTES) {
                    return false;
                }
            }
            skippingLine &= !lineComplete;
            start = nextStart;
        }
        return true;
    }

    private void decodeLine(byte[] bytes, int start, int end) {
        listBytes += end - start;
        if (jsonObjects.isInsideObject() && startsList(bytes, start, end)) {
            output.listSkipped(TRUNCATED);
            jsonObjects.reset(); // this line starts another list
            listEnded();
        }
        try {
            jsonObjects.feed(bytes, start, end);
            Map<String, Object> list = jsonObjects.next();
            for (; list != null && !stopped; list = jsonObjects.next()) {
                listEnded();
                output.listDecoded(list);
            }
        } catch (InvalidInputException e) {
            output.listSkipped("endpoint list skipped: " + e.getMessage());
            skippingLine = true;
            listEnded();
        }
        listBytes = jsonObjects.isInsideObject() ? listBytes : 0;
    }

    private static boolean startsList(byte[] bytes, int start, int end) {
        return end - start > LIST_START.length
                && Arrays.equals(bytes, start, start + LIST_START.length, LIST_START, 0, LIST_START.length);
    }

    private void listEnded() {
        listBytes = 0;
        endedLists++;
    }

    /** Stops decoding, also of the chunk that is being decoded. */
    void stop() {
        stopped = true;
    }

    /** Whether a list has been received in part. */
    boolean isInsideList() {
        return jsonObjects.isInsideObject();
    }

    /** The number of complete entries of the list that is being received. */
    int entries() {
        return jsonObjects.entries();
    }

    /** The number of lists that have ended, whether decoded or skipped. */
    int endedLists() {
        return endedLists;
    }
}
