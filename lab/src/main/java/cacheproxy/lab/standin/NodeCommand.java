package cacheproxy.lab.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One command as a cache node parses it, strictly: {@link #bad} says what is wrong with a malformed one. */
public final class NodeCommand {
    static final int NO_VALUE = -1;
    static final int LARGEST_VALUE = 64 << 10;

    public final String line;
    final String verb;
    public String key = "";
    /** The id with its flag letter O; empty if none. */
    public String id = "";
    /** Length of the value that follows the line, in bytes. */
    int length = NO_VALUE;

    final List<String> flags = new ArrayList<>();
    final Map<String, String> fields = new LinkedHashMap<>();
    String bad;
    byte[] value;

    NodeCommand(String line) {
        this.line = line;
        String[] tokens = line.split(" ", -1);
        verb = tokens[0];
        if (!request()) {
            return;
        }
        int flagsFrom = write() ? 3 : 2;
        if (tokens.length < flagsFrom || tokens[1].isEmpty() || tokens[1].length() > 250) {
            bad = "bad command line format";
            return;
        }
        key = tokens[1];
        if (write()) {
            length = number(tokens[2]);
            if (length < 0 || length > LARGEST_VALUE) {
                bad = "bad data chunk";
                length = NO_VALUE;
                return;
            }
        }
        for (int i = flagsFrom; i < tokens.length; i++) {
            flag(tokens[i]);
        }
    }

    private void flag(String flag) {
        for (String had : flags) {
            if (flag.isEmpty() || had.charAt(0) == flag.charAt(0)) {
                bad = "duplicate flag";
                return;
            }
        }
        if (flag.isEmpty()) {
            bad = "bad command line format";
            return;
        }
        flags.add(flag);
        if (flag.startsWith("O")) {
            id = flag;
        } else if (flag.startsWith("P")) {
            for (String field : flag.substring(1).split(",", -1)) {
                int eq = field.indexOf('=');
                if (eq < 1 || fields.put(field.substring(0, eq), field.substring(eq + 1)) != null) {
                    bad = "bad or doubled field in P";
                }
            }
        }
    }

    /** Why no client of the platform can have sent it; null if it is well formed. */
    String strange() {
        if (bad != null) {
            return bad;
        }
        if (id.length() < 2 || fields.isEmpty() || !fields.containsKey("c")) {
            return "O and P with c are needed";
        }
        if (fields.containsKey("d") && number(fields.get("d")) < 0) {
            return "d is no number";
        }
        return !write() && !flags.contains("v") ? "v is needed" : null;
    }

    boolean request() {
        return write() || verb.equals("mg");
    }

    public boolean write() {
        return verb.equals("ms");
    }

    String name() {
        return id.isEmpty() ? "-" : id.substring(1);
    }

    public String kind() {
        return fields.getOrDefault("c", "");
    }

    /** The idempotency key; null if none. */
    public String token() {
        String k = fields.get("k");
        return k == null || k.isEmpty() ? null : k;
    }

    /** Remaining timeout in ms; practically infinite if not stated. */
    long waitMs() {
        int d = number(fields.getOrDefault("d", ""));
        return d < 0 ? 1 << 30 : d;
    }

    static int number(String text) {
        if (text.isEmpty() || text.length() > 9) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return Integer.parseInt(text);
    }
}
