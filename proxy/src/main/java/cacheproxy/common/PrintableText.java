package cacheproxy.common;

/** Makes text from an external source safe to include in a log line or an error message. */
public final class PrintableText {
    private static final int MAX_CHARS = 80;

    private PrintableText() {}

    /** The text on one line, with control characters replaced by {@code ?}, and cut after 80 characters. */
    public static String of(String text) {
        String line = text.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= MAX_CHARS ? line : line.substring(0, MAX_CHARS) + "...";
    }
}
