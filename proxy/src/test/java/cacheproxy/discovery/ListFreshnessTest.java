package cacheproxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.routing.RoutingSettings;
import org.junit.jupiter.api.Test;

/** When an endpoint list may be older than the agent's, by the events of the watch and of reloads. */
class ListFreshnessTest {
    private static final long S = 1_000_000;
    private static final long TOLERANCE_US = 750_000;

    private static ListFreshness freshness(boolean agentPushesLists) {
        RoutingSettings settings = new RoutingSettings();
        settings.subscribeRequired = !agentPushesLists;
        settings.drainGraceUs = S;
        return new ListFreshness(settings);
    }

    private static ListFreshness upToDate() {
        ListFreshness freshness = freshness(true);
        freshness.processStarted(0);
        freshness.watchUpToDate();
        return freshness;
    }

    @Test
    void isOutdatedFromStartUntilFirstList() {
        ListFreshness freshness = freshness(true);
        assertFalse(freshness.mayBeOutdated(0), "before the start, as in the JIT warm-up");
        freshness.processStarted(S);
        assertTrue(freshness.mayBeOutdated(S));
        freshness.olderListReceived(S); // the agent's version count may have begun anew
        assertTrue(freshness.mayBeOutdated(S));
        freshness.watchUpToDate();
        assertFalse(freshness.mayBeOutdated(100 * S));
    }

    @Test
    void isOutdatedOnceGraceAfterInterruptionIsNearlyOver() {
        ListFreshness freshness = upToDate();
        freshness.watchInterrupted(S);
        freshness.watchInterrupted(S + TOLERANCE_US - 1); // a further one does not extend the time
        assertFalse(freshness.mayBeOutdated(S + TOLERANCE_US - 1));
        assertTrue(freshness.mayBeOutdated(S + TOLERANCE_US));
    }

    /** Each of two reloads would otherwise put off the time from which the first one's list counts. */
    @Test
    void secondReloadDoesNotExtendTimeOfFirst() {
        ListFreshness freshness = upToDate();
        freshness.migrationBegan(0);
        freshness.migrationBegan(3 * S);
        freshness.watchUpToDate(); // the old agent's watch
        assertFalse(freshness.mayBeOutdated(4 * S + TOLERANCE_US - 1));
        assertTrue(freshness.mayBeOutdated(4 * S + TOLERANCE_US));
        freshness.migrationCancelled();
        assertFalse(freshness.mayBeOutdated(5 * S));
    }

    /** What was missing before a reload is still missing after it. */
    @Test
    void reloadDoesNotEndDoubt() {
        ListFreshness freshness = upToDate();
        freshness.watchInterrupted(0);
        freshness.migrationBegan(0);
        assertTrue(freshness.mayBeOutdated(TOLERANCE_US));
        freshness.migrationCompleted(S); // its first list is not complete with this
        assertTrue(freshness.mayBeOutdated(S));
        freshness.watchUpToDate();
        assertEquals(ListFreshness.NEVER, freshness.outdatedAtUs());
    }

    @Test
    void olderListShowsThatListHeldIsNotOutdated() {
        ListFreshness freshness = upToDate();
        freshness.watchInterrupted(0);
        freshness.olderListReceived(S / 2);
        assertFalse(freshness.mayBeOutdated(TOLERANCE_US));
        assertTrue(freshness.mayBeOutdated(S / 2 + TOLERANCE_US));
    }

    @Test
    void isNeverOutdatedWhereDiscoveryIsPolled() {
        ListFreshness freshness = freshness(false);
        freshness.processStarted(0);
        freshness.watchInterrupted(0);
        freshness.migrationBegan(0);
        freshness.migrationCompleted(0);
        assertFalse(freshness.mayBeOutdated(100 * S));
    }
}
