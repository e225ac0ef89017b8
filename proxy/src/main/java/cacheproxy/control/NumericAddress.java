package cacheproxy.control;

import cacheproxy.common.InvalidInputException;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses numeric socket addresses. Host names are rejected: what they resolve to can change at any time. */
public final class NumericAddress {
    private static final int MAX_PORT = 0xffff;
    private static final Pattern ADDRESS_AND_PORT = Pattern.compile("(\\[[0-9A-Fa-f:.]+]|[0-9.]+):([0-9]{1,5})");

    private NumericAddress() {}

    /**
     * Parses {@code ADDRESS:PORT}, or {@code [ADDRESS]:PORT} for IPv6.
     *
     * @param field the name of the field or option, for the error message
     * @throws InvalidInputException if the text is not a numeric address with a port
     */
    public static InetSocketAddress parse(String field, String text) {
        Matcher m = ADDRESS_AND_PORT.matcher(text);
        byte[] bytes = m.matches() ? NetUtil.createByteArrayFromIpAddressString(m.group(1)) : null;
        if (bytes == null || Integer.parseInt(m.group(2)) > MAX_PORT) {
            throw new InvalidInputException(field + ": ADDRESS:PORT in digits is needed, not " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), Integer.parseInt(m.group(2)));
        } catch (UnknownHostException e) {
            throw new InvalidInputException(field + ": " + e.getMessage());
        }
    }
}
