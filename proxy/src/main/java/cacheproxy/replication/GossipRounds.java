package cacheproxy.replication;

import cacheproxy.replication.Message.Update;
import java.util.List;

/**
 * Sends to a random peer in each round: changed entries and, in some rounds, the next slice of the whole state. The
 * latter spreads entries where links carry in one direction only and digests can't be compared.
 */
final class GossipRounds {
    /**
     * How often each member that receives a metric sends it. About 1 in 20 members gets the metric by anti-entropy
     * only.
     */
    private static final int METRIC_SENDS = 3;
    /** Rounds on top of log2(members) in which an urgent entry is sent. */
    private static final int EXTRA_URGENT_SENDS = 2;
    /** Divisors of the byte budget, for the share that each kind of message may use. */
    private static final int URGENT_BUDGET_DIVISOR = 2;

    private static final int METRIC_BUDGET_DIVISOR = 4;
    private static final int SWEEP_BUDGET_DIVISOR = 8;

    private final ReplicatedStore store;
    private final MessageSender sender;
    private final int sweepMaxBytes;
    private final int urgentSends;
    /** Commands and endpoint states. */
    private final GossipQueue urgent = new GossipQueue();
    /** Metrics; less urgent, since members report them again periodically. */
    private final GossipQueue metrics = new GossipQueue();

    private long sweepAfterHash;
    private boolean sweepFirst = true;

    GossipRounds(ReplicatedStore store, MessageSender sender, int members, ReplicationSettings settings) {
        this.store = store;
        this.sender = sender;
        sweepMaxBytes = settings.gossipBytesPerS() / SWEEP_BUDGET_DIVISOR;
        urgentSends = EXTRA_URGENT_SENDS + (int) Math.ceil(Math.log(members) / Math.log(2));
    }

    /** Queues an entry that has changed. */
    void add(String key) {
        (EntryKind.ofKey(key).isMetric() ? metrics : urgent).add(key);
    }

    void clear() {
        urgent.clear();
        metrics.clear();
    }

    /** One round; {@code sweep}: whether a slice of the whole state is sent in it. */
    void run(boolean sweep, long nowMs) {
        if (sender.budgetBytes() <= 0) {
            return;
        }
        List<ReplicatedEntry> batch =
                urgent.next(store, (int) (sender.budgetBytes() / URGENT_BUDGET_DIVISOR), urgentSends, nowMs);
        if (batch.isEmpty()) {
            batch = metrics.next(store, (int) (sender.budgetBytes() / METRIC_BUDGET_DIVISOR), METRIC_SENDS, nowMs);
        }
        if (!batch.isEmpty()) {
            sender.send(sender.randomPeer(), new Update(batch, false), nowMs);
        }
        if (sweep) {
            sweep(nowMs);
        }
    }

    private void sweep(long nowMs) {
        List<ReplicatedEntry> slice = store.page(sweepAfterHash, sweepFirst, sweepMaxBytes, nowMs);
        sweepFirst = slice.isEmpty();
        if (!slice.isEmpty()) {
            sweepAfterHash = ReplicatedStore.keyHash(slice.get(slice.size() - 1).key());
            sender.send(sender.randomPeer(), new Update(slice, false), nowMs);
        }
    }

    /** Equal for equal queues; see {@link Replica#fingerprint}. */
    long fingerprint() {
        return urgent.fingerprint() + 3 * metrics.fingerprint();
    }
}
