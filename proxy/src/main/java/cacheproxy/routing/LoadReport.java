package cacheproxy.routing;

/** An endpoint's report on its own load, delayed and noisy; NaN where a value is not reported. */
public final class LoadReport {
    /** Requests in service. */
    public double inFlight = Double.NaN;
    /** Requests waiting for service. */
    public double queueLength = Double.NaN;
    /** Share of the cores that is busy; 1 is all of them. */
    public double cpuUtilization = Double.NaN;
    /** Recent service time, in microseconds. */
    public double latencyUs = Double.NaN;

    public double requestsPerSecond = Double.NaN;
    public double errorsPerSecond = Double.NaN;
    /** Recent share of hits, from 0 to 1. */
    public double hitRatio = Double.NaN;
    /** Fetches from the origin that are in flight. */
    public double originFetchesInFlight = Double.NaN;

    /** Sets every value to "not reported". */
    public void clear() {
        inFlight = queueLength = cpuUtilization = latencyUs = Double.NaN;
        requestsPerSecond = errorsPerSecond = hitRatio = originFetchesInFlight = Double.NaN;
    }
}
