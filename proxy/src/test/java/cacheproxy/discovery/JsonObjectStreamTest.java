package cacheproxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cacheproxy.common.InvalidInputException;
import cacheproxy.configuration.FieldReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** JSON objects are recognized by their braces, whatever the chunks in which they arrive. */
class JsonObjectStreamTest {
    private static List<Map<String, Object>> parseAll(JsonObjectStream stream, String text, int chunkBytes) {
        List<Map<String, Object>> objects = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < bytes.length; start += chunkBytes) {
            stream.feed(bytes, start, Math.min(bytes.length, start + chunkBytes));
            for (Map<String, Object> object = stream.next(); object != null; object = stream.next()) {
                objects.add(object);
            }
        }
        return objects;
    }

    @Test
    void parsesSameObjectsInChunksOfAnyLength() {
        String json = "{\"a\":{\"b\":[1,-2.5,true,false,null,\"\\u00e9}{ü\"]},\"c\":12345678901}";
        Map<String, Object> expected = FieldReader.parseObject(json);
        for (int chunkBytes = 1; chunkBytes <= json.length() + 1; chunkBytes++) {
            JsonObjectStream stream = new JsonObjectStream();
            assertEquals(
                    List.of(expected, expected),
                    parseAll(stream, json + "\n" + json, chunkBytes),
                    "chunks of " + chunkBytes);
            assertFalse(stream.isInsideObject());
        }
    }

    @Test
    void rejectsValueThatIsNotAnObjectAndParsesNextObject() {
        for (String malformed : new String[] {"[1]", "7 ", "\"text\"", "}", "{]", "{\"a\":nil}", "\u0001"}) {
            JsonObjectStream stream = new JsonObjectStream();
            assertThrows(InvalidInputException.class, () -> parseAll(stream, malformed, 1), malformed);
            assertEquals(List.of(Map.of("a", 1)), parseAll(stream, "{\"a\":1}", 1), malformed);
        }
    }
}
