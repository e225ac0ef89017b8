package cacheproxy.control;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The control protocol: one JSON object per line. A request has {@code v}, {@code op} and optionally an {@code id} that
 * its replies repeat. A reply has {@code ok}, and {@code error} if that is false. The last reply to a request has
 * {@code end: true}.
 */
public final class ControlCodec {
    /** The only version that exists. */
    public static final int PROTOCOL_VERSION = 1;
    /** Size limit of a request to an instance. */
    public static final int MAX_REQUEST_BYTES = 64 << 10;
    /** Size limit of a request to an agent, which may hold a site file with some 200 configurations. */
    public static final int MAX_SITE_REQUEST_BYTES = 512 << 10;
    /** Size limit of a reply. */
    public static final int MAX_REPLY_BYTES = 8 << 20;
    /** Limit of a socket's path: sun_path of unix(7) has 108 bytes, of which Java leaves two unused. */
    public static final int MAX_SOCKET_PATH_BYTES = 106;

    private ControlCodec() {}

    /** A request for this operation, without further fields. */
    public static Map<String, Object> request(String op) {
        Map<String, Object> request = new LinkedHashMap<>();
        request.put("v", PROTOCOL_VERSION);
        request.put("op", op);
        return request;
    }

    /** The object as JSON on one line, without the line feed. */
    public static String encode(Map<String, Object> object) {
        try {
            return JSON.std.asString(object);
        } catch (IOException e) {
            throw new IllegalArgumentException("not encodable as JSON: " + e.getMessage(), e);
        }
    }

    /** The object on a line; null if it is not a JSON object. */
    public static Map<String, Object> decode(String line) {
        try {
            return JSON.std.mapFrom(line);
        } catch (IOException e) {
            return null;
        }
    }
}
