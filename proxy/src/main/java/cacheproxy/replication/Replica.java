package cacheproxy.replication;

import cacheproxy.replication.Message.BucketDigests;
import cacheproxy.replication.Message.DigestSummary;
import cacheproxy.replication.Message.DurableAck;
import cacheproxy.replication.Message.EntryRequest;
import cacheproxy.replication.Message.KeyDigests;
import cacheproxy.replication.Message.TransferPage;
import cacheproxy.replication.Message.TransferRequest;
import cacheproxy.replication.Message.Update;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * One member's copy of the replicated state, and the decisions that keep it equal to the others: which entries to
 * accept, when the member is catching up, and which component handles an event. Performs no I/O: events and the time
 * come in as arguments, {@link ReplicaActions} go out. Not thread-safe; one thread calls all methods.
 *
 * <p>{@code nowMs} is a monotonic clock that advances while the process is stopped. The wall clock only provides the
 * timestamps of commands and is compared with no other member's.
 */
public final class Replica {
    /**
     * Whether this member holds the fleet's state as far as it can know. The names are part of the control protocol.
     */
    public enum State {
        /** It transfers the state of others, and sends nothing but what was reported to it since. */
        CATCHING_UP,
        CURRENT,
        /** It found no donor and continues with the state it has. */
        ALONE
    }

    /**
     * The status that is shown to operators.
     *
     * @param sinceMs when the state was entered, by the replica's clock
     * @param donor the member that state is transferred from, null if none
     * @param silentMs time since a message of another member was last received
     * @param conflicts subjects with conflicting commands
     * @param pendingCommands commands that are not acknowledged yet
     * @param staleMessages messages rejected for their age
     * @param rejectedEntries entries of unknown kinds, and messages of unknown members
     */
    public record Status(
            State state,
            long sinceMs,
            String donor,
            long silentMs,
            int entries,
            int conflicts,
            long digest,
            int pendingCommands,
            long sentBytes,
            long staleMessages,
            long rejectedEntries) {}

    /** Rounds between two digest summaries, and between two slices of the whole state. */
    private static final int SUMMARY_INTERVAL_ROUNDS = 5;
    /** The digest in the summary of a member that is catching up, which no member compares. */
    private static final long NO_DIGEST = 0;

    private final String member;
    private final long incarnation;
    private final ReplicationSettings settings;
    private final ReplicaActions actions;
    private final List<String> peers;
    private final ReplicatedStore store = new ReplicatedStore();
    private final ClockReadings readings;
    private final MessageSender sender;
    private final GossipRounds gossip;
    private final AntiEntropy antiEntropy;
    private final StateDonor donor;
    private final StateTransfer transfer;
    private final CommandReplication commands;

    private State state = State.CATCHING_UP;
    private long stateSinceMs;
    private long lastHeardMs;
    private long lastEventMs;
    private long lastTickMs;
    private int rounds;
    private long lastMetricSequence;
    private long staleMessages;
    private long rejectedEntries;

    /**
     * @param member its name, unique among members
     * @param incarnation generated at each start, and larger than at earlier starts unless this machine's clock was set
     *     back
     * @param peers the names of all other members
     * @param seed of all random choices
     */
    public Replica(
            String member,
            long incarnation,
            List<String> peers,
            ReplicationSettings settings,
            long seed,
            long nowMs,
            ReplicaActions actions) {
        this.member = member;
        this.incarnation = incarnation;
        this.peers = List.copyOf(peers);
        this.settings = settings;
        this.actions = actions;
        SplittableRandom random = new SplittableRandom(seed);
        readings = new ClockReadings(member, incarnation);
        sender = new MessageSender(member, incarnation, this.peers, settings, random, readings, actions);
        gossip = new GossipRounds(store, sender, this.peers.size() + 1, settings);
        antiEntropy = new AntiEntropy(store, sender, random, settings);
        donor = new StateDonor(store, sender, settings);
        transfer = new StateTransfer(this.peers, random);
        commands = new CommandReplication(member, incarnation, this.peers.size(), settings, store, sender, actions);
        stateSinceMs = nowMs;
        lastHeardMs = nowMs;
        lastEventMs = nowMs;
        lastTickMs = nowMs;
        transfer.begin();
    }

    /** Restores the commands on one subject from disk, before any other event. */
    public void restore(String key, OperatorCommands restored, long nowMs) {
        if (store.merge(key, restored, 0, nowMs)) {
            commands.observe(restored);
            actions.entryChanged(key);
        }
    }

    // ---- reports to this member ----

    /**
     * Accepts an operator's command.
     *
     * @param wallMs Unix time in ms
     * @return its sequence number, which {@link ReplicaActions#commandAcknowledged} repeats
     * @throws InvalidFieldException if a part of it is missing or too long
     * @throws ReplicaBusyException if too many commands are pending, or there are too many subjects
     */
    public long submitCommand(String subject, String action, String operator, String reason, long nowMs, long wallMs) {
        detectAbsence(nowMs);
        commands.requireCapacity();
        String key = EntryKind.COMMAND.key(subject);
        OperatorCommand command = commands.submit(key, action, operator, reason, nowMs, wallMs);
        gossip.add(key);
        actions.entryChanged(key);
        return command.sequence();
    }

    /** Reports the status of an endpoint from this member's endpoint list. */
    public void reportEndpoint(String endpoint, EndpointStatus status, long nowMs) {
        detectAbsence(nowMs);
        update(EntryKind.ENDPOINT.key(endpoint), status, nowMs);
    }

    /**
     * Reports a metric of this member itself.
     *
     * @throws InvalidFieldException if the kind is no metric, or the subject can't be part of a key
     */
    public void reportMetric(EntryKind kind, String subject, double amount, long nowMs) {
        detectAbsence(nowMs);
        if (!kind.isMetric()) {
            throw new InvalidFieldException("kind", kind + " is no metric of a member");
        }
        update(kind.key(subject, member), new MemberMetric(incarnation, ++lastMetricSequence, amount), nowMs);
    }

    private void update(String key, ReplicatedValue value, long nowMs) {
        if (store.merge(key, value, 0, nowMs)) {
            gossip.add(key);
            actions.entryChanged(key);
        }
    }

    // ---- queries ----

    /** The value under this key, perhaps expired; null if there is none. */
    public ReplicatedValue get(String key) {
        ReplicatedStore.Entry entry = store.get(key);
        return entry == null ? null : entry.value();
    }

    /** The sum of all members' metrics on one subject that have not expired. */
    public double sumOfMetrics(EntryKind kind, String subject, long nowMs) {
        String prefix = kind.key(subject) + "/";
        double sum = 0;
        for (ReplicatedStore.Entry entry : store.entries()) {
            if (entry.kind == kind && entry.key.startsWith(prefix) && !entry.expired(nowMs)) {
                sum += ((MemberMetric) entry.value()).amount();
            }
        }
        return sum;
    }

    /** Visits all entries in key order. */
    public void forEach(BiConsumer<String, ReplicatedValue> visitor) {
        store.entries().stream()
                .sorted((a, b) -> a.key.compareTo(b.key))
                .forEach(entry -> visitor.accept(entry.key, entry.value()));
    }

    public State state() {
        return state;
    }

    /** Equal where two members hold the same entries. */
    public long digest() {
        return store.digest();
    }

    public Status status(long nowMs) {
        int conflicts = 0;
        for (ReplicatedStore.Entry entry : store.entries()) {
            conflicts += entry.value() instanceof OperatorCommands c && c.conflicting() ? 1 : 0;
        }
        return new Status(
                state,
                stateSinceMs,
                transfer.donor(),
                nowMs - lastHeardMs,
                store.size(),
                conflicts,
                store.digest(),
                commands.pendingCount(),
                sender.sentBytes(),
                staleMessages,
                rejectedEntries);
    }

    /**
     * Equal for two replicas that would respond alike to all further events; lets a model checker recognize states that
     * it has visited. Times are taken relative to now.
     */
    public long fingerprint(long nowMs) {
        long f = ReplicatedValue.mix(incarnation + state.ordinal());
        for (ReplicatedStore.Entry entry : store.entries()) {
            f += ReplicatedValue.mix(entry.keyHash ^ entry.value().digest() ^ ReplicatedValue.mix(entry.ageMs(nowMs)));
        }
        f += commands.pendingFingerprint();
        f = ReplicatedValue.mix(
                f + rounds % SUMMARY_INTERVAL_ROUNDS + 7 * (nowMs - lastHeardMs) + 1_009 * (nowMs - lastEventMs));
        f = ReplicatedValue.mix(f + gossip.fingerprint());
        f = ReplicatedValue.mix(f + sender.fingerprint() + commands.counterFingerprint() + lastMetricSequence);
        return ReplicatedValue.mix(f + commands.writesFingerprint() + 31 * transfer.fingerprint());
    }

    // ---- events ----

    /**
     * Called first at every event: a process that was stopped for long has to detect this before it accepts messages
     * queued in its sockets, and before it sends anything.
     */
    private void detectAbsence(long nowMs) {
        boolean stopped = nowMs - lastEventMs > settings.silenceTimeoutMs();
        boolean silent = nowMs - lastHeardMs > settings.silenceTimeoutMs() && state == State.CURRENT;
        if (stopped || silent) {
            startCatchingUp(nowMs);
        }
        lastEventMs = Math.max(lastEventMs, nowMs);
    }

    private void startCatchingUp(long nowMs) {
        store.retainCommands();
        gossip.clear();
        enter(State.CATCHING_UP, nowMs);
        transfer.begin();
        lastHeardMs = nowMs;
    }

    private void enter(State next, long nowMs) {
        state = next;
        stateSinceMs = nowMs;
        sender.setCatchingUp(next == State.CATCHING_UP);
    }

    /** A write that {@link ReplicaActions#store} began is durable. */
    public void onStored(long token, long nowMs) {
        detectAbsence(nowMs);
        commands.onStored(token, nowMs);
    }

    /** Runs one round; to be called every {@link ReplicationSettings#roundMs}. */
    public void tick(long nowMs) {
        long elapsedMs = Math.max(0, nowMs - lastTickMs);
        lastTickMs = nowMs;
        detectAbsence(nowMs);
        rounds++;
        sender.refillBudget();
        donor.refillBudget(elapsedMs);
        store.expire(nowMs);
        commands.settle(nowMs);
        if (peers.isEmpty()) {
            state = State.ALONE;
            sender.setCatchingUp(false);
            return;
        }
        if (state != State.CURRENT) {
            catchUp(nowMs);
        }
        commands.requestConfirmations(nowMs);
        if (state != State.CATCHING_UP) {
            gossip.run(rounds % SUMMARY_INTERVAL_ROUNDS == 1, nowMs);
        }
        if (rounds % SUMMARY_INTERVAL_ROUNDS == 0) {
            long digest = state == State.CATCHING_UP ? NO_DIGEST : store.digest();
            sender.send(sender.randomPeer(), new DigestSummary(digest), nowMs);
        }
    }

    private void catchUp(long nowMs) {
        boolean timedOut = nowMs - stateSinceMs >= settings.donorTimeoutMs();
        boolean receivedRecently = nowMs - lastHeardMs < settings.donorTimeoutMs();
        boolean receiving = nowMs - transfer.lastPageMs() < settings.donorTimeoutMs();
        if (transfer.sufficient() || timedOut && !receiving && (transfer.anyCompleted() || receivedRecently)) {
            // only one donor is reachable, or all members are catching up: there is no more state to get
            enter(State.CURRENT, nowMs);
            return;
        }
        if (timedOut && !receiving && state == State.CATCHING_UP) {
            enter(State.ALONE, nowMs);
        }
        String peer = transfer.donorToAsk();
        if (peer != null) {
            sender.send(peer, transfer.request(), nowMs);
        }
    }

    /** Handles a message whose format has been checked. */
    public void receive(Message message, long nowMs) {
        detectAbsence(nowMs);
        String from = message.from();
        if (from.equals(member) || !peers.contains(from)) {
            rejectedEntries++;
            return;
        }
        long ageMs = readings.maxAgeMs(message, nowMs);
        readings.receive(message, nowMs);
        boolean fresh = ageMs <= settings.maxMessageAgeMs();
        if (fresh) {
            lastHeardMs = nowMs;
        }
        Message.Body body = message.body();
        if (body instanceof Update || body instanceof TransferPage) {
            if (fresh) {
                receiveEntries(message, ageMs, nowMs);
            } else {
                staleMessages++;
            }
        } else if (body instanceof DurableAck ack) {
            commands.onDurableAck(from, ack, nowMs);
        } else if (body instanceof TransferRequest request) {
            donor.onRequest(from, request, state == State.CATCHING_UP, nowMs);
        } else if (state != State.CATCHING_UP && sender.budgetBytes() > 0) {
            compare(message, nowMs);
        }
    }

    private void receiveEntries(Message message, long ageMs, long nowMs) {
        if (message.body() instanceof Update update) {
            mergeAll(update.entries(), update.confirm() ? message.from() : null, ageMs, nowMs);
        } else if (message.body() instanceof TransferPage page) {
            mergeAll(page.entries(), null, ageMs, nowMs);
            transfer.onPage(message.from(), page, message.catchingUp(), nowMs);
        }
    }

    private void compare(Message message, long nowMs) {
        String from = message.from();
        if (message.body() instanceof DigestSummary summary) {
            antiEntropy.onSummary(from, summary, message.catchingUp(), nowMs);
        } else if (message.body() instanceof BucketDigests digests) {
            antiEntropy.onBucketDigests(from, digests, nowMs);
        } else if (message.body() instanceof KeyDigests digests) {
            antiEntropy.onKeyDigests(from, digests, nowMs);
        } else if (message.body() instanceof EntryRequest request) {
            antiEntropy.onEntryRequest(from, request, nowMs);
        }
    }

    /** Time in transit adds to the age: an entry that members keep forwarding would otherwise never expire. */
    private void mergeAll(List<ReplicatedEntry> entries, String confirmTo, long transitMs, long nowMs) {
        for (ReplicatedEntry entry : entries) {
            if (EntryKind.ofKey(entry.key()) == null) {
                rejectedEntries++; // of a newer version; sent again by other members once this member is updated
                continue;
            }
            merge(entry, confirmTo, transitMs, nowMs);
        }
    }

    private void merge(ReplicatedEntry entry, String confirmTo, long transitMs, long nowMs) {
        String key = entry.key();
        ReplicatedValue before = get(key);
        boolean changed = store.merge(key, entry.value(), entry.ageMs() + transitMs, nowMs);
        if (entry.value() instanceof OperatorCommands received) {
            commands.observe(received);
            if (changed || confirmTo != null) {
                commands.persistReceived(key, received, confirmTo);
            }
        }
        if (changed) {
            gossip.add(key);
            if (!get(key).equals(before)) {
                actions.entryChanged(key);
            }
        }
    }
}
