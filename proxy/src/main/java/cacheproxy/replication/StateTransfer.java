package cacheproxy.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The receiving side of state transfer: fetches the whole state from several donors, page by page. If a donor fails
 * halfway, the entries that it sent are kept, since a merge is idempotent, and the next donor is asked from the first
 * page. Only transfers from donors that are not catching up themselves count.
 */
final class StateTransfer {
    /** Complete transfers from different donors that suffice; fewer if there are fewer peers. */
    private static final int REQUIRED_TRANSFERS = 2;
    /** Rounds to wait for a page before another donor is asked. */
    private static final int PAGE_TIMEOUT_ROUNDS = 5;
    /** Busy replies in a row before another donor is asked. */
    private static final int MAX_BUSY_REPLIES = 25;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final List<String> peers;
    private final SplittableRandom random;
    private final Set<String> completed = new HashSet<>();
    private final Set<String> tried = new HashSet<>();
    private String donor;
    private long afterHash;
    private boolean firstPage;
    private int roundsWaited;
    private boolean requestDue;
    private int busyReplies;
    private long lastPageMs = NEVER_MS;

    StateTransfer(List<String> peers, SplittableRandom random) {
        this.peers = peers;
        this.random = random;
    }

    /** Starts anew; earlier transfers no longer count. */
    void begin() {
        completed.clear();
        tried.clear();
        donor = null;
        lastPageMs = NEVER_MS;
    }

    /** Equal for equal progress; see {@link Replica#fingerprint}. */
    int fingerprint() {
        return Objects.hash(completed, tried, donor, afterHash, firstPage, roundsWaited, requestDue, busyReplies);
    }

    /** Whether as many transfers are complete as required. */
    boolean sufficient() {
        return completed.size() >= Math.min(REQUIRED_TRANSFERS, peers.size());
    }

    boolean anyCompleted() {
        return !completed.isEmpty();
    }

    /** When a donor that is not catching up itself last sent a page; far in the past if none has. */
    long lastPageMs() {
        return lastPageMs;
    }

    /** The donor of the transfer in progress; null if there is none. */
    String donor() {
        return donor;
    }

    /** Called each round: the donor to ask for the next page, null while a request is in flight or no donor is left. */
    String donorToAsk() {
        if (donor != null && !requestDue && roundsWaited++ < PAGE_TIMEOUT_ROUNDS) {
            return null;
        }
        if (donor == null || !requestDue) {
            chooseDonor();
        }
        requestDue = false;
        roundsWaited = 0;
        return donor;
    }

    Message.TransferRequest request() {
        return new Message.TransferRequest(afterHash, firstPage);
    }

    private void chooseDonor() {
        List<String> candidates = peers.stream()
                .filter(p -> !completed.contains(p) && !tried.contains(p))
                .toList();
        if (candidates.isEmpty()) {
            tried.clear(); // all timed out, were busy or were catching up: start over
            candidates = peers.stream().filter(p -> !completed.contains(p)).toList();
        }
        donor = candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
        if (donor != null) {
            tried.add(donor);
        }
        firstPage = true;
        afterHash = 0;
        busyReplies = 0;
    }

    /** A page was received; {@code catchingUp}: its sender is itself catching up. */
    void onPage(String from, Message.TransferPage page, boolean catchingUp, long nowMs) {
        if (!from.equals(donor)) {
            return;
        }
        roundsWaited = 0;
        if (page.busy()) {
            requestDue = busyReplies++ < MAX_BUSY_REPLIES;
            return;
        }
        busyReplies = 0;
        if (!catchingUp) {
            lastPageMs = nowMs;
        }
        if (page.last()) {
            if (!catchingUp) {
                completed.add(from);
            }
            donor = null;
            return;
        }
        firstPage = false;
        afterHash = page.nextHash();
        requestDue = true;
    }
}
