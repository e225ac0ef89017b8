package cacheproxy.replication;

import cacheproxy.replication.Message.TransferPage;
import cacheproxy.replication.Message.TransferRequest;
import java.util.List;

/** The sending side of state transfer: pages of the store, within a byte budget for all members that catch up. */
final class StateDonor {
    private static final int PAGE_BYTES = 4 << 10;
    private static final int PAGE_OVERHEAD_BYTES = 64;
    /** Longest time for which budget accrues at once, as after a pause of the process. */
    private static final long MAX_REFILL_MS = 1_000;

    private static final double MS_PER_S = 1e3;

    private final ReplicatedStore store;
    private final MessageSender sender;
    private final ReplicationSettings settings;
    private double budgetBytes;

    StateDonor(ReplicatedStore store, MessageSender sender, ReplicationSettings settings) {
        this.store = store;
        this.sender = sender;
        this.settings = settings;
    }

    void refillBudget(long elapsedMs) {
        budgetBytes = Math.min(
                settings.transferBytesPerS() * MessageSender.BURST_S,
                budgetBytes + settings.transferBytesPerS() * Math.min(elapsedMs, MAX_REFILL_MS) / MS_PER_S);
    }

    /** {@code commandsOnly}: this member is catching up itself, so that only its commands are known to be valid. */
    void onRequest(String from, TransferRequest request, boolean commandsOnly, long nowMs) {
        if (budgetBytes <= 0) {
            sender.send(from, new TransferPage(List.of(), 0, false, true), nowMs);
            return;
        }
        List<ReplicatedEntry> page = store.page(request.afterHash(), request.first(), PAGE_BYTES, nowMs);
        long nextHash = page.isEmpty()
                ? 0
                : ReplicatedStore.keyHash(page.get(page.size() - 1).key());
        List<ReplicatedEntry> entries = page;
        if (commandsOnly) {
            entries = page.stream()
                    .filter(e -> e.value() instanceof OperatorCommands)
                    .toList();
        }
        budgetBytes -= Message.totalBytes(entries) + PAGE_OVERHEAD_BYTES;
        sender.send(from, new TransferPage(entries, nextHash, page.isEmpty(), false), nowMs);
    }
}
