package cacheproxy.routing;

/** An endpoint as the endpoint list describes it. */
public final class EndpointInfo {
    public int id;
    public int cell;
    public int zone;
    public int kind;
    /** Size compared with other endpoints. */
    public double weight = 1;

    public EndpointState state = EndpointState.READY;
    /** Time of the latest start in microseconds; {@link Long#MIN_VALUE} for long ago. */
    public long startedUs = Long.MIN_VALUE;
}
