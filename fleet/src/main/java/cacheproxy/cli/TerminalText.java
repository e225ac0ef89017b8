package cacheproxy.cli;

import java.util.regex.Pattern;

/**
 * Sanitizes untrusted text for a terminal: replaces by '?' (in JSON: escapes) characters that move the cursor, set
 * colours or reverse text direction.
 */
final class TerminalText {
    private static final int MAX_SHOWN_CHARS = 80;
    /** Control characters (also above 127), Unicode line and paragraph separators, and bidirectional formatting. */
    private static final Pattern UNSAFE = Pattern.compile("[\\p{Cc}\\p{Cf}\\p{Zl}\\p{Zp}]");

    private static final Pattern UNSAFE_IN_LINES = Pattern.compile("[\\p{Cc}\\p{Cf}\\p{Zl}\\p{Zp}&&[^\n\t]]");
    private static final Pattern UNSAFE_IN_JSON = Pattern.compile("[\\x7f-\\x9f]");

    private TerminalText() {}

    static String line(Object text) {
        return UNSAFE.matcher(String.valueOf(text)).replaceAll("?");
    }

    /** Keeps line feeds and tabs. */
    static String lines(Object text) {
        return UNSAFE_IN_LINES.matcher(String.valueOf(text)).replaceAll("?");
    }

    /** JSON escapes characters below 32; the ones escaped here are valid in JSON without an escape. */
    static String json(String json) {
        return UNSAFE_IN_JSON
                .matcher(json)
                .replaceAll(
                        match -> String.format("\\\\u%04x", (int) match.group().charAt(0)));
    }

    /** Truncates a value for an error message, since an agent's reply may hold a value of any length. */
    static String shortened(Object value) {
        String text = String.valueOf(value);
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
