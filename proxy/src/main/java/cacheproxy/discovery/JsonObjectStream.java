package cacheproxy.discovery;

import cacheproxy.common.InvalidInputException;
import cacheproxy.common.PrintableText;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses a stream of JSON objects that arrive in chunks of any length. The end of an object is found by the parser, not
 * by a line feed: when lists were formerly split at line feeds, an indented list could not be parsed, and its changes
 * were lost.
 */
final class JsonObjectStream {
    /** Containers around an entry: the list and the array of its entries. */
    private static final int ENTRY_DEPTH = 2;

    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonParser parser;
    private ByteArrayFeeder feeder;
    /** The objects and arrays that are incomplete, the innermost last. */
    private final ArrayDeque<Object> openContainers = new ArrayDeque<>();

    /** Complete objects in an array of the outermost object, which are the entries of a list. */
    private int entries;

    JsonObjectStream() {
        createParser();
    }

    private void createParser() {
        openContainers.clear();
        entries = 0;
        try {
            parser = FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // creating a parser reads no input
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Adds input; to be called only once {@link #next} has returned null for the input before. */
    void feed(byte[] bytes, int start, int end) {
        try {
            feeder.feedInput(bytes, start, end);
        } catch (IOException e) {
            throw new IllegalStateException(e); // only if the previous input was not consumed
        }
    }

    /** Discards an incomplete object; the next input starts a new one. */
    void reset() {
        createParser();
    }

    /** Whether an object has been received in part. */
    boolean isInsideObject() {
        return !openContainers.isEmpty();
    }

    /** The number of complete entries of the object that is being received. */
    int entries() {
        return entries;
    }

    /** The next complete object, or null if more input is needed; after an error the next input starts a new object. */
    Map<String, Object> next() {
        try {
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
                Map<String, Object> object = handleToken(token);
                if (object != null) {
                    return object;
                }
            }
            return null;
        } catch (JsonProcessingException e) {
            createParser();
            throw new InvalidInputException("not JSON: " + PrintableText.of(e.getOriginalMessage()));
        } catch (IOException e) {
            createParser();
            throw new InvalidInputException("not JSON: " + e);
        }
    }

    private Map<String, Object> handleToken(JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT -> openContainer(new LinkedHashMap<String, Object>());
            case START_ARRAY -> openContainer(new ArrayList<Object>());
            case END_OBJECT, END_ARRAY -> {
                Object container = openContainers.removeLast();
                if (openContainers.isEmpty()) {
                    entries = 0;
                    return requireObject(container);
                }
                entries += openContainers.size() == ENTRY_DEPTH && token == JsonToken.END_OBJECT ? 1 : 0;
            }
            case FIELD_NAME -> {} // read by parser.currentName() when the value arrives
            case VALUE_STRING -> add(parser.getText());
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> add(parser.getNumberValue());
            case VALUE_TRUE, VALUE_FALSE -> add(token == JsonToken.VALUE_TRUE);
            default -> add(null);
        }
        return null;
    }

    private void openContainer(Object container) throws IOException {
        if (!openContainers.isEmpty()) {
            add(container);
        }
        openContainers.addLast(container);
    }

    @SuppressWarnings("unchecked") // the containers are only of the two types created in handleToken
    private void add(Object value) throws IOException {
        Object innermost = openContainers.peekLast();
        if (innermost instanceof List<?> list) {
            ((List<Object>) list).add(value);
        } else if (innermost instanceof Map<?, ?> map) {
            ((Map<String, Object>) map).put(parser.currentName(), value);
        } else {
            createParser();
            throw new InvalidInputException(
                    "not JSON: " + PrintableText.of(String.valueOf(value)) + " is not an object");
        }
    }

    @SuppressWarnings("unchecked") // the only type of map created in handleToken
    private static Map<String, Object> requireObject(Object container) {
        if (container instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidInputException("expected a JSON object, not an array");
    }
}
