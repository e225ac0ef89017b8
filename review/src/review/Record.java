package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, a line each, with milliseconds since the start of the test. */
final class Record {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double nowMs() {
        return ms(System.nanoTime());
    }

    double ms(long nanoTime) {
        return (nanoTime - startNs) / 1e6;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%10.1f  ", nowMs());
        out.printf(Locale.ROOT, format + "%n", arguments);
    }

    /** A line that is also printed, for the person who runs the test. */
    synchronized void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(Locale.ROOT, "%10.1f  ", nowMs()) + String.format(Locale.ROOT, format, arguments));
    }

    synchronized void close() {
        out.flush();
        out.close();
    }

    synchronized void flush() {
        out.flush();
    }
}
