package cacheproxy.configuration;

import cacheproxy.common.InvalidInputException;
import cacheproxy.common.PrintableText;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Map;

/**
 * Reads environment variables and fields of JSON objects. If one is missing or malformed, an
 * {@link InvalidInputException} names it, its value and what was expected, on one line.
 */
public final class FieldReader {
    private static final int MAX_PORT = 65535;

    private FieldReader() {}

    /** The value of an environment variable, which must be set and not blank, without surrounding white space. */
    public static String variable(Map<String, String> environment, String name) {
        String value = environment.get(name);
        if (value == null || value.isBlank()) {
            throw new InvalidInputException("the environment variable " + name + " is not set");
        }
        return value.strip();
    }

    /** Parses a JSON object; returns null if the text is not one. */
    public static Map<String, Object> parseObject(String text) {
        try {
            return JSON.std.mapFrom(text);
        } catch (IOException e) {
            return null;
        }
    }

    /** Parses a JSON object; {@code source} names the text in the error. */
    static Map<String, Object> requireObject(String text, String source) {
        Map<String, Object> object = parseObject(text);
        if (object == null) {
            throw new InvalidInputException("the configuration " + source + " is not a JSON object");
        }
        return object;
    }

    /** A field that must be a JSON object; {@code container} names the enclosing object in the error. */
    @SuppressWarnings("unchecked") // the parser creates only maps of this type
    static Map<String, Object> requireObject(Map<String, Object> fields, String key, String container) {
        if (fields.get(key) instanceof Map<?, ?> object) {
            return (Map<String, Object>) object;
        }
        throw wrongType(fields, key, container, "a JSON object");
    }

    /** A field that must be a non-empty string; {@code container} names the enclosing object in the error. */
    public static String requireString(Map<String, Object> fields, String key, String container) {
        if (fields.get(key) instanceof String string && !string.isEmpty()) {
            return string;
        }
        throw wrongType(fields, key, container, "a non-empty string");
    }

    /** A field that must be an integer of at least {@code minimum}; {@code path} names it in the error. */
    static int requireInteger(Map<String, Object> fields, String key, int minimum, String path) {
        Object value = fields.get(key);
        if (value instanceof Number number && number.intValue() >= minimum) {
            return number.intValue();
        }
        throw new InvalidInputException(path + " in the configuration is not a number of at least " + minimum + ": "
                + PrintableText.of(String.valueOf(value)));
    }

    /** A field that is an array, or an empty list if it is not one. */
    static List<?> listOrEmpty(Map<String, Object> fields, String key) {
        return fields.get(key) instanceof List<?> list ? list : List.of();
    }

    /**
     * Parses a numeric IP address and port, IPv6 in brackets. Host names are not resolved: the deployment has no name
     * service, and a look-up would block the event loop.
     *
     * @param field names the field in the error
     */
    public static InetSocketAddress address(String text, String field) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (bytes != null && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below, like every other malformed address
        }
        throw new InvalidInputException(
                field + " is not a numeric IP address and port (HOST:PORT): " + PrintableText.of(text));
    }

    /** Parses an unsigned hexadecimal number of at most 64 bits; {@code field} names it in the error. */
    static long hexadecimal(String text, String field) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException(field + " is not a hexadecimal number: " + PrintableText.of(text));
        }
    }

    private static InvalidInputException wrongType(
            Map<String, Object> fields, String key, String container, String expected) {
        if (fields.get(key) == null) {
            return new InvalidInputException(key + " is missing from " + container + ": expected " + expected);
        }
        return new InvalidInputException(key + " in " + container + " is not " + expected + ": "
                + PrintableText.of(String.valueOf(fields.get(key))));
    }
}
