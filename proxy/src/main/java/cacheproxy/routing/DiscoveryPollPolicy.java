package cacheproxy.routing;

/**
 * When the router subscribes to the endpoint list. The first subscriptions of many proxies that start together are
 * spread over time, because they would overload service discovery; failed ones are repeated after a random backoff.
 *
 * <p>In the real proxy these delays do not make the list older: {@code discovery.DiscoveryClient} starts and repeats
 * its watch sooner with its own timers ({@code WatchTimeouts}), and ignores a subscription while a watch is open or
 * due.
 */
final class DiscoveryPollPolicy {
    /** First subscriptions are spread over at most this share of the time in which one must be made. */
    private static final double MAX_SPREAD_SHARE = 0.8;

    private static final double SPREAD_US_PER_PROXY = 400_000;
    /** Short enough that a change is known within seconds. */
    private static final long BACKOFF_US = 2_000_000;

    private static final int MAX_BACKOFF_MULTIPLE = 2;

    private final RoutingSettings settings;
    private final SplitMix64 random;
    private boolean subscribed;
    private int consecutiveFailures;

    DiscoveryPollPolicy(RoutingSettings settings, SplitMix64 random) {
        this.settings = settings;
        this.random = random;
    }

    long firstDelayUs() {
        double spreadUs =
                Math.min(MAX_SPREAD_SHARE * settings.subscribeWithinUs, SPREAD_US_PER_PROXY * settings.proxyCount);
        return (long) (random.nextDouble() * spreadUs);
    }

    /** Whether to subscribe now; from then on the router counts as subscribed until a failure. */
    boolean subscribe() {
        boolean due = !subscribed;
        subscribed = true;
        return due;
    }

    /** Ends the subscription after a failed call; {@link #backoffUs} follows and counts the failure. */
    void recordFailure() {
        subscribed = false;
    }

    /**
     * Counts a failure and returns the time until the next attempt: from half to all of the backoff, which doubles
     * once.
     */
    long backoffUs() {
        int multiple = consecutiveFailures++ == 0 ? 1 : MAX_BACKOFF_MULTIPLE;
        return (long) (BACKOFF_US * multiple * (0.5 + 0.5 * random.nextDouble()));
    }

    void recordSuccess() {
        consecutiveFailures = 0;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }
}
