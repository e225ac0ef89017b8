package cacheproxy.routing;

/** A value that decays exponentially with time. Times are in microseconds. */
final class DecayingCounter {
    private double timeConstantUs;
    private double value;
    private long updatedUs;

    DecayingCounter(double timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    static DecayingCounter[] array(int length, double timeConstantUs) {
        DecayingCounter[] counters = new DecayingCounter[length];
        for (int i = 0; i < length; i++) {
            counters[i] = new DecayingCounter(timeConstantUs);
        }
        return counters;
    }

    /** What is left at {@code nowUs} of a value that was updated at {@code updatedUs}. */
    static double decayed(double value, long updatedUs, long nowUs, double timeConstantUs) {
        return value == 0 ? 0 : value * Math.exp((updatedUs - nowUs) / timeConstantUs);
    }

    double get(long nowUs) {
        return decayed(value, updatedUs, nowUs, timeConstantUs);
    }

    /** Adds a step, up or down, within 0 and {@code max}; returns the new value. */
    double add(double step, double max, long nowUs) {
        set(Math.max(0, Math.min(max, get(nowUs) + step)), nowUs);
        return value;
    }

    /** Counts one event and returns the new count. */
    double increment(long nowUs) {
        return add(1, Double.MAX_VALUE, nowUs);
    }

    /** Applies from the last update on. */
    void setTimeConstant(double us) {
        timeConstantUs = us;
    }

    void set(double newValue, long nowUs) {
        value = newValue;
        updatedUs = nowUs;
    }
}
