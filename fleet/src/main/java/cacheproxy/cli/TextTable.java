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
        int columns = rows.stream().mapToInt(r -> r.length).max().orElse(0);
        int[] width = new int[columns];
        for (String[] r : rows) {
            for (int i = 0; i < r.length; i++) {
                width[i] = Math.max(width[i], r[i].length());
            }
        }
        for (String[] r : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < r.length; i++) {
                line.append(r[i]);
                if (i < r.length - 1) {
                    line.append(" ".repeat(width[i] - r[i].length() + 2));
                }
            }
            out.println(line.toString().stripTrailing());
        }
    }

    /** Formats a duration with the largest fitting unit. */
    static String formatDuration(Object ms) {
        if (!(ms instanceof Number n)) {
            return "";
        }
        long s = n.longValue() / 1000;
        return n.longValue() < 10_000
                ? n.longValue() + " ms"
                : s < 600 ? s + " s" : s < 36_000 ? s / 60 + " min" : s / 3600 + " h";
    }
}
