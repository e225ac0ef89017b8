package cacheproxy.memcache;

import cacheproxy.common.PrintableText;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Parses the line of an {@code mg} or {@code ms} command. The {@code P} flag holds the request fields, separated by
 * commas: {@code c} class, {@code t} tenant, {@code d} wait in ms, {@code h} expected work in us, {@code size} value
 * size in bytes, {@code r} retry mark, {@code k} idempotency key; others are forwarded unread. One instance is reused
 * for all lines of a connection, so that no parser is allocated per line.
 */
final class MetaCommandParser {
    private static final int MAX_KEY_LENGTH = 250;
    private static final int MAX_OPAQUE_LENGTH = 64;
    private static final double MAX_FIELD_NUMBER = 1e12;
    private static final int MAX_HEX_KEY_LENGTH = 16;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final List<String> REQUEST_FIELDS = List.of("c", "t", "d", "h", "size", "r", "k");

    private final RequestNames names;

    String opaque;
    int requestClass;
    int tenant;
    int waitMs;
    double costUs;
    double sizeBytes;
    boolean retry;
    String idempotencyKey;

    /** The text of the {@code P} flag without its letter. */
    private String requestFields;
    /** The index in the line at which {@link #requestFields} starts. */
    private int requestFieldsStart;

    private boolean valueRequested;

    MetaCommandParser(RequestNames names) {
        this.names = names;
    }

    MetaCommand parse(String line, String[] tokens, boolean write) throws BadCommandException {
        reset(write);
        String key = tokens[1];
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            throw new BadCommandException("bad key");
        }
        parseFlags(tokens, write ? 3 : 2);
        if (opaque == null || opaque.length() == 1 || opaque.length() > MAX_OPAQUE_LENGTH || requestFields == null) {
            throw new BadCommandException("O and P are needed");
        }
        if (!valueRequested) {
            throw new BadCommandException("v is needed"); // without it the response to a read would have no value
        }
        parseRequestFields();
        if (requestClass < 0 || tenant < 0 || waitMs < MetaCommand.WAIT_NOT_STATED) {
            throw new BadCommandException("c, t or d is not known here");
        }
        return command(line, key, write);
    }

    private void reset(boolean write) {
        opaque = null;
        requestFields = null;
        requestFieldsStart = 0;
        valueRequested = write;
        requestClass = -1;
        tenant = names.tenants().isEmpty() ? 0 : -1;
        waitMs = MetaCommand.WAIT_NOT_STATED;
        costUs = 0;
        sizeBytes = 0;
        retry = false;
        idempotencyKey = null;
    }

    private void parseFlags(String[] tokens, int firstFlag) throws BadCommandException {
        int tokenStart = 0;
        for (int i = 0; i < tokens.length; i++) {
            if (i >= firstFlag) {
                parseFlag(tokens[i], tokenStart);
            }
            tokenStart += tokens[i].length() + 1;
        }
    }

    /** Rejects a repeated flag, since the proxy might use one occurrence and the endpoint the other. */
    private void parseFlag(String flag, int flagStart) throws BadCommandException {
        if (flag.startsWith("O")) {
            rejectIfSet("O", opaque);
            opaque = flag;
        } else if (flag.startsWith("P")) {
            rejectIfSet("P", requestFields);
            requestFields = flag.substring(1);
            requestFieldsStart = flagStart + 1;
        }
        valueRequested |= flag.equals("v");
    }

    private static void rejectIfSet(String flag, String earlier) throws BadCommandException {
        if (earlier != null) {
            throw new BadCommandException(flag + " is given twice");
        }
    }

    private void parseRequestFields() throws BadCommandException {
        int seenFields = 0;
        Set<String> otherFields = Set.of();
        for (String field : requestFields.split(",")) {
            int equals = field.indexOf('=');
            String text = field.substring(equals + 1);
            String name = equals < 0 ? field : field.substring(0, equals);
            int fieldIndex = REQUEST_FIELDS.indexOf(name);
            if (fieldIndex >= 0) {
                rejectIfRepeated(name, (seenFields & 1 << fieldIndex) != 0);
                seenFields |= 1 << fieldIndex;
            } else {
                otherFields = otherFields.isEmpty() ? new HashSet<>() : otherFields;
                rejectIfRepeated(name, !otherFields.add(name));
            }
            parseRequestField(equals < 0 ? "" : name, text);
        }
    }

    private static void rejectIfRepeated(String field, boolean repeated) throws BadCommandException {
        if (repeated) {
            throw new BadCommandException("a field in P is named twice: " + PrintableText.of(field));
        }
    }

    private void parseRequestField(String name, String text) throws BadCommandException {
        switch (name) {
            case "c" -> requestClass = names.classes().getOrDefault(text, -1);
            case "t" -> tenant = names.tenants().getOrDefault(text, tenant);
            case "d" -> waitMs = MetaProtocolDecoder.parseNumber(text);
            case "h" -> costUs = parseDecimal(text);
            case "size" -> sizeBytes = parseDecimal(text);
            case "r" -> retry = text.equals("1");
            case "k" -> idempotencyKey = text;
            default -> {} // forwarded unread
        }
    }

    /** The hash of the idempotency key; 0 if there is none. */
    long idempotencyKeyHash() {
        return idempotencyKey == null || idempotencyKey.isEmpty() ? 0 : hash(idempotencyKey);
    }

    private static double parseDecimal(String text) throws BadCommandException {
        try {
            double parsed = Double.parseDouble(text);
            if (parsed >= 0 && parsed < MAX_FIELD_NUMBER) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number out of range
        }
        throw new BadCommandException("bad figure in P");
    }

    /** Splits the line around the number in its {@code d} field, which is replaced in each attempt. */
    private MetaCommand command(String line, String key, boolean write) {
        boolean first = requestFields.startsWith("d=");
        int separator = first ? -1 : requestFields.indexOf(",d=");
        if (!first && separator < 0) {
            return new MetaCommand(this, write, hash(key), line, null);
        }
        int numberStart = first ? "d=".length() : separator + ",d=".length();
        int numberEnd = requestFields.indexOf(',', numberStart);
        String beforeWait = line.substring(0, requestFieldsStart + numberStart);
        int afterWait = requestFieldsStart + (numberEnd < 0 ? requestFields.length() : numberEnd);
        return new MetaCommand(this, write, hash(key), beforeWait, line.substring(afterWait));
    }

    /**
     * The key as a number: the value of a key of up to 16 hex digits, otherwise the FNV-1a hash. Never 0, which stands
     * for no key. All proxies compute the same number, so that they choose the same endpoints for a key.
     */
    private static long hash(String key) {
        long number = 0;
        boolean hex = key.length() <= MAX_HEX_KEY_LENGTH;
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < key.length(); i++) {
            int digit = Character.digit(key.charAt(i), 16);
            hex &= digit >= 0;
            number = number << 4 | digit & 15;
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        long result = hex ? number : hash;
        return result != 0 ? result : 1;
    }
}
