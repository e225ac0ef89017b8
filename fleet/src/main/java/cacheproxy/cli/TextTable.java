package cacheproxy.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/** Formats rows as aligned columns. */
final class TextTable {
    private final List<String[]> rows = new ArrayList<>();

    TextTable row(Object... cells) {
        String[] row = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            row[i] = cells[i] == null ? "" : TerminalText.line(cells[i]);
        }
        rows.add(row);
        return this;
    }

    void print(PrintWriter out) {
        int columns = rows.stream().mapToInt(row -> row.length).max().orElse(0);
        int[] widths = new int[columns];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                line.append(row[i]);
                if (i < row.length - 1) {
                    line.append(" ".repeat(widths[i] - row[i].length() + 2));
                }
            }
            out.println(line.toString().stripTrailing());
        }
    }

    /** Formats a duration with the largest fitting unit. */
    static String formatDuration(Object ms) {
        if (!(ms instanceof Number duration)) {
            return "";
        }
        long seconds = duration.longValue() / 1000;
        return duration.longValue() < 10_000
                ? duration.longValue() + " ms"
                : seconds < 600 ? seconds + " s" : seconds < 36_000 ? seconds / 60 + " min" : seconds / 3600 + " h";
    }
}
