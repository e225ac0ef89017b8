package cacheproxy.lab.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The result of checking a record: violations, notes that violate no rule, and counts of what was judged. */
public final class Findings {
    private final List<RecordedEvent> record;
    private final List<Violation> violations = new ArrayList<>();
    private final List<Violation> notes = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    Findings(List<RecordedEvent> record) {
        this.record = record;
    }

    /** Violations; empty if all rules were kept. */
    public List<Violation> violations() {
        return violations;
    }

    /** Wasteful behaviour, and what would be a violation had the proxy been able to know. */
    public List<Violation> notes() {
        return notes;
    }

    /**
     * The count under a name such as {@code requests}, {@code served}, {@code gone} or {@code attempts}; 0 if absent.
     */
    public int count(String what) {
        return counts.getOrDefault(what, 0);
    }

    public Map<String, Integer> counts() {
        return counts;
    }

    void counted(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    void violation(Violation.Rule rule, String what, int... entries) {
        violations.add(new Violation(rule, what, entries(entries)));
    }

    void note(Violation.Rule rule, String what, int... entries) {
        notes.add(new Violation(rule, what, entries(entries)));
    }

    private List<RecordedEvent> entries(int[] entries) {
        List<RecordedEvent> out = new ArrayList<>();
        java.util.Arrays.stream(entries)
                .filter(i -> i != Trace.NEVER)
                .sorted()
                .distinct()
                .forEach(i -> out.add(record.get(i)));
        return List.copyOf(out);
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        violations.forEach(v -> out.append(v).append('\n'));
        notes.forEach(v -> out.append("note, ").append(v).append('\n'));
        return out.append(counts).toString();
    }
}
