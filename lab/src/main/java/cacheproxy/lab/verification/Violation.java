package cacheproxy.lab.verification;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** A violated rule: what happened, in a sentence, and the entries of the record that show it, in order. */
public record Violation(Rule rule, String what, List<RecordedEvent> events) {
    /** The four rules, and the condition that invalidates a run. */
    public enum Rule {
        /** One complete response in time, in order, produced by a node for this request, and no attempt after it. */
        ANSWER,
        /** No effect twice, and no rejection of a request that may have been executed. */
        TWICE,
        /** No new attempt to a draining or deleted node. */
        DRAIN,
        /** No warming-up node loaded above the allowed multiple of its capacity. */
        COLD,
        /** Nodes receive what a client sent, unchanged. */
        FORM
    }

    private static final int SHOWN = 110;

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder().append(rule).append(": ").append(what);
        for (RecordedEvent e : events) {
            out.append("\n    ").append(line(e));
        }
        return out.toString();
    }

    /** Formats one entry as a line. */
    public static String line(RecordedEvent e) {
        StringBuilder out = new StringBuilder()
                .append(String.format(Locale.ROOT, "%12.6f s  %-8s %-13s", e.atNs() / 1e9, e.who(), e.kind()));
        if (e.kind() != RecordedEvent.Kind.FACT) {
            out.append(" link ").append(e.link());
        }
        if (e.note() != null && !e.note().isEmpty()) {
            out.append(' ').append(e.note());
        }
        if (e.data() != null && e.data().length > 0) {
            int length = Math.min(SHOWN, e.data().length);
            String text = new String(e.data(), 0, length, StandardCharsets.ISO_8859_1);
            out.append(" \"")
                    .append(text.replace("\r", "\\r").replace("\n", "\\n"))
                    .append('"');
            if (length < e.data().length) {
                out.append(" and ").append(e.data().length - length).append(" more");
            }
        }
        return out.toString();
    }
}
