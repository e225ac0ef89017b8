package cacheproxy.lab.standin;

import java.util.Random;

/** Random variates that are the same on every machine. */
public final class RandomVariates {
    private RandomVariates() {}

    /** Log-normal with this mean and coefficient of variation; the mean itself if that is 0. */
    static double around(Random random, double mean, double cv) {
        if (cv <= 0) {
            return mean;
        }
        double s2 = StrictMath.log(1 + cv * cv);
        return mean * StrictMath.exp(random.nextGaussian() * StrictMath.sqrt(s2) - s2 / 2);
    }

    /** Exponential time to the next arrival at a rate per second, in ns. */
    static long gapNs(Random random, double perS) {
        return (long) (-StrictMath.log(1 - random.nextDouble()) / perS * 1e9);
    }

    /** A pseudo-random number in [0, 1) that depends on the text and the salt only. */
    public static double of(String text, long salt) {
        return (hash(text, salt) >>> 11) * 0x1p-53;
    }

    /** Formats a number as 16 hexadecimal digits. */
    public static String hex(long number) {
        String digits = Long.toHexString(number);
        return "0".repeat(16 - digits.length()) + digits;
    }

    public static long hash(String text, long salt) {
        long h = 0xcbf29ce484222325L ^ salt;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }
}
