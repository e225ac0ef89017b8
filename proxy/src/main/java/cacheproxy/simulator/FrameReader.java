package cacheproxy.simulator;

import cacheproxy.common.InvalidInputException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/** Reads the big-endian fields of a frame; no read goes beyond the end of the current range. */
final class FrameReader {
    private static final VarHandle SHORT = view(short[].class);
    private static final VarHandle INT = view(int[].class);
    private static final VarHandle LONG = view(long[].class);

    private byte[] bytes;
    private int offset;
    private int end;
    private String rangeName = "frame";

    private static VarHandle view(Class<?> type) {
        return MethodHandles.byteArrayViewVarHandle(type, ByteOrder.BIG_ENDIAN);
    }

    /** Sets the range to read: bytes {@code from} to {@code to}; {@code name} names it in error messages. */
    void setRange(byte[] source, int from, int to, String name) {
        bytes = source;
        offset = from;
        end = to;
        rangeName = name;
    }

    int position() {
        return offset;
    }

    int remaining() {
        return end - offset;
    }

    private int advance(int count) {
        if (count < 0 || count > end - offset) {
            throw new InvalidInputException(
                    rangeName + " is too short: " + count + " bytes wanted, " + (end - offset) + " left");
        }
        int from = offset;
        offset += count;
        return from;
    }

    int u8() {
        return bytes[advance(1)] & 0xff;
    }

    int u16() {
        return (short) SHORT.get(bytes, advance(2)) & 0xffff;
    }

    int i32() {
        return (int) INT.get(bytes, advance(4));
    }

    /** An unsigned number that must fit an int: a count, a length or an index. */
    int u31() {
        int value = i32();
        if (value < 0) {
            throw new InvalidInputException(rangeName + " has an impossible number " + (value & 0xffffffffL));
        }
        return value;
    }

    long i64() {
        return (long) LONG.get(bytes, advance(8));
    }

    double f64() {
        return Double.longBitsToDouble(i64());
    }

    float f32() {
        return Float.intBitsToFloat(i32());
    }

    /** A time or duration, which is in milliseconds on the wire; returned in microseconds. */
    long microseconds() {
        double ms = f64();
        if (!(Math.abs(ms) < 1e12)) {
            throw new InvalidInputException(rangeName + " has an impossible time " + ms);
        }
        return Math.round(ms * 1000);
    }

    byte[] bytes(int count) {
        int from = advance(count);
        return java.util.Arrays.copyOfRange(bytes, from, from + count);
    }

    String text(int count) {
        int from = advance(count);
        return new String(bytes, from, count, java.nio.charset.StandardCharsets.UTF_8);
    }
}
