package cacheproxy.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends messages to peers and accounts for their bytes: one budget for gossip and anti-entropy, from which state
 * transfers are exempt. Messages that must be sent may overdraw it, up to a limit.
 */
final class MessageSender {
    /** Limit of the budget, and of its overdraft: what accrues in this time. */
    static final double BURST_S = 1;

    private static final double MS_PER_S = 1e3;

    private final String member;
    private final long incarnation;
    private final List<String> peers;
    private final ReplicationSettings settings;
    private final SplittableRandom random;
    private final ClockReadings readings;
    private final ReplicaActions actions;
    private boolean catchingUp = true;
    private double budgetBytes;
    private long sentBytes;
    private long sentMessages;

    MessageSender(
            String member,
            long incarnation,
            List<String> peers,
            ReplicationSettings settings,
            SplittableRandom random,
            ClockReadings readings,
            ReplicaActions actions) {
        this.member = member;
        this.incarnation = incarnation;
        this.peers = peers;
        this.settings = settings;
        this.random = random;
        this.readings = readings;
        this.actions = actions;
    }

    /** Sets whether later messages state that this member is catching up. */
    void setCatchingUp(boolean catchingUp) {
        this.catchingUp = catchingUp;
    }

    /** Adds the budget of one round. */
    void refillBudget() {
        double limit = settings.gossipBytesPerS() * BURST_S;
        budgetBytes = Math.max(-limit, budgetBytes);
        budgetBytes = Math.min(limit, budgetBytes + settings.gossipBytesPerS() * settings.roundMs() / MS_PER_S);
    }

    /** Bytes that may still be sent; zero or less if there is none left. */
    double budgetBytes() {
        return budgetBytes;
    }

    String randomPeer() {
        return peers.get(random.nextInt(peers.size()));
    }

    void send(String peer, Message.Body body, long nowMs) {
        Message message =
                new Message(member, incarnation, catchingUp, nowMs, readings.forPeer(peer, nowMs, random), body);
        sentBytes += message.encodedBytes();
        sentMessages++;
        if (!(body instanceof Message.TransferPage)) {
            budgetBytes -= message.encodedBytes();
        }
        actions.send(peer, message);
    }

    /** Sends the first of these entries, as many as the budget allows and at least one. The rest is left out. */
    void sendWithinBudget(String peer, List<ReplicatedEntry> entries, long nowMs) {
        double maxBytes = Math.max(0, budgetBytes);
        List<ReplicatedEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (ReplicatedEntry entry : entries) {
            if (!batch.isEmpty() && bytes + entry.encodedBytes() > maxBytes) {
                break;
            }
            bytes += entry.encodedBytes();
            batch.add(entry);
        }
        if (!batch.isEmpty()) {
            send(peer, new Message.Update(List.copyOf(batch), false), nowMs);
        }
    }

    long sentBytes() {
        return sentBytes;
    }

    /** Equal for equal later behaviour: each message draws the same amount of random numbers. */
    long fingerprint() {
        return sentMessages + (long) (budgetBytes * 8);
    }
}
