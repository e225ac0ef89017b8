package cacheproxy.lab.verification;

import java.util.Arrays;

/** One response with an id, as a node sent it. {@code firstByteSent} and {@code arrived} are entries of the record. */
record NodeResponse(
        RecordedConnection connection, RecordedResponse response, byte[] bytes, int firstByteSent, int arrived) {
    boolean sameValue(RecordedResponse other, byte[] otherBytes) {
        return response.kind == RecordedResponse.Kind.VALUE
                && response.complete
                && Arrays.equals(
                        bytes, response.valueFrom, response.valueTo, otherBytes, other.valueFrom, other.valueTo);
    }

    boolean sameReceipt(RecordedResponse other) {
        return response.kind == RecordedResponse.Kind.RECEIPT && response.receipt.equals(other.receipt);
    }

    /** Whether the part of a value that a client received is a prefix of this one. */
    boolean beginsWith(RecordedResponse other, byte[] otherBytes) {
        int got = Math.min(other.endOffset, other.valueTo) - other.valueFrom;
        int have = Math.min(response.endOffset, response.valueTo) - response.valueFrom;
        return response.valueFrom > 0
                && response.valueTo - response.valueFrom == other.valueTo - other.valueFrom
                && got <= have
                && Arrays.equals(
                        bytes,
                        response.valueFrom,
                        response.valueFrom + got,
                        otherBytes,
                        other.valueFrom,
                        other.valueFrom + got);
    }
}
