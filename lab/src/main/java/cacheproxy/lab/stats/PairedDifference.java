package cacheproxy.lab.stats;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The mean difference of pairs with its 95% interval by the percentile bootstrap (Efron and Tibshirani, An Introduction
 * to the Bootstrap, ch. 13). Few pairs make the interval too narrow: below {@link #FEWEST} nothing is said.
 *
 * @param pairs how many there were
 * @param mean of the differences, second minus first
 * @param low the interval's lower end
 * @param high its upper end
 * @param verdict what that says
 * @param further so many more pairs would probably tell, where these do not; 0 where they do
 */
public record PairedDifference(int pairs, double mean, double low, double high, Verdict verdict, int further) {
    /** Whether the second is larger, smaller, or neither can be concluded. */
    public enum Verdict {
        LARGER,
        SMALLER,
        CANNOT_TELL
    }

    /** Pairs below which no verdict is given. */
    public static final int FEWEST = 5;

    private static final int RESAMPLES = 4_000;
    private static final int MOST_FURTHER = 10_000;

    /**
     * The difference of these pairs, in the same order; the same seed gives the same interval. Non-finite pairs are
     * left out.
     */
    public static PairedDifference of(double[] first, double[] second, long seed) {
        if (first.length != second.length) {
            throw new IllegalArgumentException(first.length + " values against " + second.length);
        }
        double[] d = new double[first.length];
        int n = 0;
        for (int i = 0; i < first.length; i++) {
            double x = second[i] - first[i];
            if (Double.isFinite(x)) {
                d[n++] = x;
            }
        }
        if (n == 0) {
            return new PairedDifference(0, Double.NaN, Double.NaN, Double.NaN, Verdict.CANNOT_TELL, FEWEST);
        }
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        double[] means = new double[RESAMPLES];
        for (int r = 0; r < RESAMPLES; r++) {
            double sum = 0;
            for (int i = 0; i < n; i++) {
                sum += d[random.nextInt(n)];
            }
            means[r] = sum / n;
        }
        Arrays.sort(means);
        double mean = Arrays.stream(d, 0, n).average().orElseThrow();
        double low = means[(int) Math.floor(0.025 * (RESAMPLES - 1))];
        double high = means[(int) Math.ceil(0.975 * (RESAMPLES - 1))];
        if (n < FEWEST) {
            return new PairedDifference(n, mean, low, high, Verdict.CANNOT_TELL, FEWEST - n);
        }
        if (low > 0 || high < 0) {
            return new PairedDifference(n, mean, low, high, low > 0 ? Verdict.LARGER : Verdict.SMALLER, 0);
        }
        return new PairedDifference(n, mean, low, high, Verdict.CANNOT_TELL, further(n, mean, high - low));
    }

    /**
     * Pairs needed until the interval would exclude 0 at the same mean: it shrinks with the square root of their
     * number.
     */
    private static int further(int n, double mean, double width) {
        if (width == 0 || mean == 0) {
            return width == 0 ? 0 : MOST_FURTHER;
        }
        double times = width / 2 / Math.abs(mean);
        return (int) Math.max(1, Math.min(MOST_FURTHER, Math.ceil(n * times * times) - n));
    }
}
