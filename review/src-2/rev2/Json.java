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

    /** With each field on a line of its own, four spaces for each level. */
    static String indented(Object value) {
        StringBuilder out = new StringBuilder();
        indent(value, "\n", out);
        return out.toString();
    }

    private static void indent(Object value, String line, StringBuilder out) {
        String inner = line + "    ";
        if (value instanceof Map<?, ?> map && !map.isEmpty()) {
            String before = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(before).append(inner).append('"').append(entry.getKey()).append("\": ");
                indent(entry.getValue(), inner, out);
                before = ",";
            }
            out.append(line).append('}');
        } else if (value instanceof List<?> list && !list.isEmpty()) {
            String before = "[";
            for (Object element : list) {
                out.append(before).append(inner);
                indent(element, inner, out);
                before = ",";
            }
            out.append(line).append(']');
        } else {
            write(value, out);
        }
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
