package rev2;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Writes maps, lists, texts, numbers and booleans as JSON. */
final class Json {
    private Json() {}

    static String of(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            for (Iterator<? extends Map.Entry<?, ?>> i = map.entrySet().iterator(); i.hasNext(); ) {
                Map.Entry<?, ?> entry = i.next();
                out.append('"').append(entry.getKey()).append("\":");
                write(entry.getValue(), out);
                out.append(i.hasNext() ? "," : "");
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (Iterator<?> i = list.iterator(); i.hasNext(); ) {
                write(i.next(), out);
                out.append(i.hasNext() ? "," : "");
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"').append(text).append('"');
        } else {
            out.append(value);
        }
    }
}
