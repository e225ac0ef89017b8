package cacheproxy.memcache;

import cacheproxy.routing.CacheResult;
import cacheproxy.routing.LoadReport;
import cacheproxy.routing.SettingsText;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** One response of a cache endpoint, created by {@link MetaResponseDecoder}. */
public final class MetaResponse {
    private static final byte[] CRLF = {'\r', '\n'};
    /** The largest plausible number in a load report. */
    private static final double MAX_LOAD_NUMBER = 1e7;
    /** The largest plausible CPU utilization: 1 means all cores busy, but readings are noisy. */
    private static final double MAX_CPU_UTILIZATION = 4;

    private final ResponseStatus status;
    String opaque;
    String receipt;
    byte[] value;
    CacheResult cacheNote = CacheResult.NONE;
    String loadFields;
    String malformedReason;

    MetaResponse(ResponseStatus status) {
        this.status = status;
    }

    public ResponseStatus status() {
        return status;
    }

    /** The id of the request that this response belongs to, with its leading {@code O}; null on an error line. */
    public String opaque() {
        return opaque;
    }

    /** Whether the response has no request id. */
    public boolean hasNoOpaque() {
        return opaque == null;
    }

    /** The receipt of a write; null if there is none. */
    public String receipt() {
        return receipt;
    }

    /** Whether the endpoint had the value cached. */
    public CacheResult cacheNote() {
        return cacheNote;
    }

    /** What is wrong with a {@link ResponseStatus#MALFORMED} response. */
    public String malformedReason() {
        return malformedReason;
    }

    /** Whether this can be the response to the command: of the right kind, and with its id if a value or receipt. */
    public boolean matches(MetaCommand command) {
        return switch (status) {
            case SERVED -> command.opaque().equals(opaque) && hasPayloadFor(command);
            case MISS -> !command.isWrite();
            default -> true;
        };
    }

    private boolean hasPayloadFor(MetaCommand command) {
        return command.isWrite() ? value == null && receipt != null : value != null;
    }

    /** Reads the endpoint's load report into {@code report}, cleared first. Implausible numbers are left out. */
    public void readLoadReport(LoadReport report) {
        report.clear();
        if (loadFields == null) {
            return;
        }
        for (String field : loadFields.split(",")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                readLoadField(field.substring(0, equals), field.substring(equals + 1), report);
            }
        }
        if (report.cpuUtilization > MAX_CPU_UTILIZATION) {
            report.cpuUtilization = Double.NaN;
        }
    }

    private static void readLoadField(String name, String text, LoadReport report) {
        try {
            double number = Double.parseDouble(text);
            if (number >= 0 && number <= MAX_LOAD_NUMBER) {
                SettingsText.setReportField(name, number, report);
            }
        } catch (NumberFormatException e) {
            // left out like an implausible number
        }
    }

    /** Encodes the response for the client, without the flags meant for the proxy. The caller releases the buffer. */
    public ByteBuf encode() {
        String line = value != null ? "VA " + value.length + " " + opaque : "HD " + opaque + " " + receipt;
        ByteBuf head = Unpooled.copiedBuffer(line + "\r\n", StandardCharsets.ISO_8859_1);
        if (value == null) {
            return head;
        }
        // wrapped, not copied: values are large and memory is scarce
        return Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(value), Unpooled.wrappedBuffer(CRLF));
    }
}
