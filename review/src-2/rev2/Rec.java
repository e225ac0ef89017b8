package rev2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: lines with the time since the start, written to a file as they come. */
final class Rec {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Rec(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double nowMs() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized double line(String who, String what) {
        double at = nowMs();
        out.println(String.format(Locale.ROOT, "%10.1f  %-10s %s", at, who, what));
        return at;
    }
}
