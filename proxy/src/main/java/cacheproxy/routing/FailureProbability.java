package cacheproxy.routing;

/**
 * BLUE with a single bucket: the probability with which one endpoint, or the origin, is avoided. A failure raises it by
 * a step, a success lowers it by a fraction of the step, and it decays with time. Steps are inversely proportional to
 * the request rate, so that isolated failures at a busy proxy do not accumulate faster than they decay.
 */
final class FailureProbability {
    static final double TIME_CONSTANT_US = 5e6;
    private static final double MIN_STEP = 0.005;
    private static final double MAX_STEP = 0.8;
    /** About this many seconds of nothing but failures raise the probability from 0 to 1. */
    private static final double SECONDS_TO_SATURATION = 2;
    /** A success lowers the probability by this fraction of a step. */
    private static final double SUCCESS_STEP_FRACTION = 0.2;

    private final DecayingCounter probability = new DecayingCounter(TIME_CONSTANT_US);

    double get(long nowUs) {
        return probability.get(nowUs);
    }

    /** {@code requestsPerSecond}: rate of the requests that this probability learns from. */
    void record(boolean failure, double requestsPerSecond, double failureWeight, long nowUs) {
        double step = 1 / (requestsPerSecond * SECONDS_TO_SATURATION + 1e-9);
        step = Math.max(MIN_STEP, Math.min(MAX_STEP, step));
        double change = failure ? step * failureWeight : -step * SUCCESS_STEP_FRACTION;
        probability.add(change, StochasticFairBlue.MAX_PROBABILITY, nowUs);
    }

    void setTimeConstant(double us) {
        probability.setTimeConstant(us);
    }

    void reset() {
        probability.set(0, 0);
    }
}
