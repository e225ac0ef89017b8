package cacheproxy.memcache;

import cacheproxy.limits.ByteBudget;
import cacheproxy.routing.CacheResult;
import java.util.List;

/** Decodes what a cache endpoint sends into {@link MetaResponse} messages. */
public final class MetaResponseDecoder extends MetaProtocolDecoder {
    /** Endpoints serve values several times as large as those that clients may send. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private MetaResponse pendingResponse;

    /** {@code budget}: shared by the values that are being received from all endpoints. */
    public MetaResponseDecoder(ByteBudget budget) {
        super(MAX_VALUE_BYTES, budget);
    }

    @Override
    protected int onLine(String line, List<Object> out) {
        String[] tokens = line.split(" ");
        switch (tokens.length == 0 ? "" : tokens[0]) {
            case "VA" -> {
                pendingResponse = withFlags(ResponseStatus.SERVED, tokens, 2);
                return tokens.length < 2 ? NOT_A_NUMBER : parseNumber(tokens[1]);
            }
            case "HD" -> out.add(withFlags(ResponseStatus.SERVED, tokens, 1));
            case "SERVER_ERROR" -> out.add(serverError(tokens));
            case "EN" -> out.add(new MetaResponse(ResponseStatus.MISS));
            case "CLIENT_ERROR" -> out.add(new MetaResponse(ResponseStatus.REJECTED));
            default -> out.add(malformed(line));
        }
        return NO_BLOCK;
    }

    private static MetaResponse serverError(String[] tokens) {
        boolean busy = tokens.length > 1 && tokens[1].equals("busy");
        MetaResponse response = withFlags(busy ? ResponseStatus.BUSY : ResponseStatus.FAILED, tokens, 2);
        response.opaque = null; // an error line has no id in this protocol
        return response;
    }

    private static MetaResponse withFlags(ResponseStatus status, String[] tokens, int firstFlag) {
        MetaResponse response = new MetaResponse(status);
        boolean fetchInFlight = false;
        for (int i = firstFlag; i < tokens.length; i++) {
            String flag = tokens[i];
            switch (flag.isEmpty() ? ' ' : flag.charAt(0)) {
                case 'O' -> response.opaque = flag;
                case 'c' -> response.receipt = flag;
                case 'h' -> response.cacheNote = flag.equals("h1") ? CacheResult.HIT : CacheResult.MISS;
                case 'Z' -> fetchInFlight = true;
                case 'L' -> response.loadFields = flag.substring(1);
                default -> {} // a flag that the proxy does not use
            }
        }
        if (fetchInFlight && response.cacheNote == CacheResult.MISS) {
            response.cacheNote = CacheResult.MISS_FETCH_IN_FLIGHT;
        }
        return response;
    }

    @Override
    protected void onBlock(byte[] bytes, List<Object> out) {
        pendingResponse.value = bytes;
        out.add(pendingResponse);
        pendingResponse = null;
    }

    @Override
    protected void onFramingLost(String reason, List<Object> out) {
        out.add(malformed(reason));
    }

    private static MetaResponse malformed(String reason) {
        MetaResponse response = new MetaResponse(ResponseStatus.MALFORMED);
        response.malformedReason = reason;
        return response;
    }
}
