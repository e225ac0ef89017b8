package cacheproxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.IntSummaryStatistics;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Delays between retries: doubled, bounded, randomized, and reduced by the duration of the failed call. */
class BackoffPolicyTest {
    private static final int INITIAL_DELAY_MS = 100;
    private static final int MAX_DELAY_MS = 1000;
    private static final int DRAWS = 2000;

    /** The range of the delay after {@code failuresBefore} earlier failures and one more, over many random draws. */
    private static IntSummaryStatistics delays(int failuresBefore, long callDurationMs) {
        SplittableRandom random = new SplittableRandom(5);
        return IntStream.range(0, DRAWS)
                .map(draw -> {
                    BackoffPolicy backoff = new BackoffPolicy(INITIAL_DELAY_MS, MAX_DELAY_MS, random);
                    for (int failure = 0; failure < failuresBefore; failure++) {
                        backoff.nextDelayMs(0);
                    }
                    return backoff.nextDelayMs(callDurationMs);
                })
                .summaryStatistics();
    }

    private static void assertBetween(int minimumMs, int maximumMs, IntSummaryStatistics delays) {
        assertTrue(delays.getMin() >= minimumMs && delays.getMax() < maximumMs, delays.toString());
        assertTrue(
                delays.getMax() - delays.getMin() > (maximumMs - minimumMs) * 0.9,
                "delays cover too little of the range: " + delays);
    }

    @Test
    void doublesDelayUpToBoundAndDrawsFromHalfToOneAndAHalfOfIt() {
        assertBetween(50, 150, delays(0, 0));
        assertBetween(100, 300, delays(1, 0));
        assertBetween(200, 600, delays(2, 0));
        assertBetween(500, 1500, delays(4, 0));
        assertBetween(500, 1500, delays(1000, 0));
    }

    @Test
    void subtractsDurationOfFailedCallFromDelay() {
        assertBetween(50, 150, delays(4, 2000));
    }

    @Test
    void delayIsFractionOfTimeLeftUntilDeadline() {
        BackoffPolicy backoff = new BackoffPolicy(INITIAL_DELAY_MS, MAX_DELAY_MS, new SplittableRandom(5));
        assertBetween(
                500,
                1500,
                IntStream.range(0, DRAWS)
                        .map(draw -> backoff.nextDelayMs(0, 6000))
                        .summaryStatistics());
        assertBetween(
                250,
                750,
                IntStream.range(0, DRAWS)
                        .map(draw -> backoff.nextDelayMs(0, 2000))
                        .summaryStatistics());
        assertBetween(
                50,
                150,
                IntStream.range(0, DRAWS)
                        .map(draw -> backoff.nextDelayMs(0, 10))
                        .summaryStatistics());
        int delayMs = backoff.nextDelayMs(0, 0);
        assertTrue(delayMs >= 50 && delayMs < 150, "doubling starts once no time is left: " + delayMs);
    }

    @Test
    void startsOverWithInitialDelayAfterReset() {
        BackoffPolicy backoff = new BackoffPolicy(INITIAL_DELAY_MS, MAX_DELAY_MS, new SplittableRandom(5));
        IntStream.range(0, 9).forEach(draw -> backoff.nextDelayMs(0));
        backoff.reset();
        assertTrue(backoff.nextDelayMs(0) < 150);
    }

    @Test
    void boundBelowInitialDelayApplies() {
        assertEquals(1, new BackoffPolicy(INITIAL_DELAY_MS, 1, new SplittableRandom(5)).nextDelayMs(0));
    }
}
