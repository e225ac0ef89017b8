package cacheproxy.lab.standin;

import java.util.Random;

/** Behaviour of clients; times in ms. */
public final class ClientModel {
    public int retries = 2;
    /** Timeout of an attempt as a share of the class's deadline. */
    public double tryShare = 0.65;
    /** Time that it waits beyond the stated timeout, so that late responses are observed. */
    public double patienceMs;
    /** Backoff before a retry, doubled with each. */
    public double backoffMs = 100;
    /** Share of rejections whose Retry-After it honours. */
    public double honour = 0.85;
    /** Maximum number of connections; requests without one wait. */
    public int connections = 400;
    /** Maximum number of pipelined requests per connection. */
    public int pipeline = 1;
    /** Idle timeout of connections. */
    public double idleMs = 10_000;

    int valueBytes = 5;

    public int keys = 2000;
    public double zipf = 0.9;
    /** Offset of the Zipf distribution: the larger, the less the most popular key stands out. */
    public double offset = 10;
    /** Share of reads for keys that are requested only once. */
    public double scans;

    private double[] sums;

    /** Draws a key by its popularity. */
    public String key(Random random) {
        if (sums == null || sums.length != keys) {
            sums = new double[keys];
            double sum = 0;
            for (int i = 0; i < keys; i++) {
                sum += StrictMath.pow(i + 1 + offset, -zipf);
                sums[i] = sum;
            }
        }
        int at = java.util.Arrays.binarySearch(sums, random.nextDouble() * sums[keys - 1]);
        return key(Math.min(keys - 1, at < 0 ? -at - 1 : at));
    }

    /** The key with a rank; 0 is the most popular. */
    public static String key(int i) {
        return RandomVariates.hex(RandomVariates.hash("key " + i, 1));
    }
}
