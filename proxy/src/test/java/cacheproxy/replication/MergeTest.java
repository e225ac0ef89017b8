package cacheproxy.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Checks that merges are commutative, associative and idempotent; otherwise replicas that received the same values
 * could differ permanently.
 */
class MergeTest {
    private static ReplicatedValue status(SplittableRandom r) {
        return new EndpointStatus(r.nextInt(3), EndpointStatus.State.values()[r.nextInt(3)], unknownFields(r));
    }

    private static ReplicatedValue metric(SplittableRandom r) {
        return new MemberMetric(r.nextInt(3), r.nextInt(3), r.nextInt(3) / 2.0, unknownFields(r));
    }

    /** Fields that a newer version has appended, or an older one has lost. */
    private static String unknownFields(SplittableRandom r) {
        return List.of("", "", "a", "b", "aa").get(r.nextInt(5));
    }

    /** The same commands, as received from a member that has lost the unknown fields of some. */
    private static ReplicatedValue withLostFields(ReplicatedValue commands, SplittableRandom r) {
        OperatorCommands o = (OperatorCommands) commands;
        return OperatorCommands.of(
                o.versionVector(),
                o.active().stream()
                        .map(s -> r.nextBoolean()
                                ? s
                                : new OperatorCommand(
                                        s.incarnation(),
                                        s.sequence(),
                                        s.timestampMs(),
                                        s.action(),
                                        s.operator(),
                                        s.reason()))
                        .toList());
    }

    /** Histories of four members that submit commands and exchange them now and then. */
    private static List<ReplicatedValue> simulateCommandHistories(SplittableRandom r) {
        OperatorCommands[] commandsByMember = new OperatorCommands[4];
        long[] lastSequences = new long[4];
        List<ReplicatedValue> seen = new ArrayList<>();
        for (int step = 0; step < 12; step++) {
            int m = r.nextInt(4);
            int other = r.nextInt(4);
            if (r.nextBoolean() || commandsByMember[other] == null) {
                commandsByMember[m] = OperatorCommands.superseding(
                        commandsByMember[m],
                        new OperatorCommand(
                                m + 1,
                                ++lastSequences[m],
                                r.nextInt(5),
                                r.nextBoolean() ? "drain" : OperatorCommand.CLEAR,
                                "w",
                                "",
                                unknownFields(r)));
            } else {
                commandsByMember[m] = commandsByMember[m] == null
                        ? commandsByMember[other]
                        : (OperatorCommands) commandsByMember[m].merge(commandsByMember[other]);
            }
            seen.add(commandsByMember[m]);
        }
        return seen;
    }

    private static void assertMergeLaws(ReplicatedValue a, ReplicatedValue b, ReplicatedValue c, long seed) {
        assertEquals(a.merge(b), b.merge(a), () -> "seed " + seed);
        assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)), () -> "seed " + seed);
        assertEquals(a, a.merge(a), () -> "seed " + seed);
        assertEquals(a.merge(b).digest(), b.merge(a).digest(), () -> "seed " + seed);
    }

    @Test
    void eachMergeIsCommutativeAssociativeAndIdempotent() {
        for (long seed = 1; seed <= 20_000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            for (Function<SplittableRandom, ReplicatedValue> kind :
                    List.<Function<SplittableRandom, ReplicatedValue>>of(MergeTest::status, MergeTest::metric)) {
                assertMergeLaws(kind.apply(r), kind.apply(r), kind.apply(r), seed);
            }
            List<ReplicatedValue> seen = simulateCommandHistories(r);
            assertMergeLaws(seen.get(r.nextInt(12)), seen.get(r.nextInt(12)), seen.get(r.nextInt(12)), seed);
            assertMergeLaws(
                    withLostFields(seen.get(r.nextInt(12)), r),
                    withLostFields(seen.get(r.nextInt(12)), r),
                    withLostFields(seen.get(r.nextInt(12)), r),
                    seed);
        }
    }

    /** Otherwise a copy that has lost its unknown fields would replace the command itself, or the fields. */
    @Test
    void keepsUnknownFieldsWhenMergedWithCopyWithoutThem() {
        OperatorCommands complete =
                OperatorCommands.superseding(null, new OperatorCommand(1, 1, 20, "drain", "a", "", "more"));
        OperatorCommands reduced = OperatorCommands.superseding(null, new OperatorCommand(1, 1, 20, "drain", "a", ""));
        assertEquals(complete, reduced.merge(complete));
        assertEquals(complete, complete.merge(reduced));
        assertTrue(complete.digest() != reduced.digest(), "digests of copies that differ must differ");
        EndpointStatus status = new EndpointStatus(5, EndpointStatus.State.GONE, "more");
        assertEquals(status, new EndpointStatus(5, EndpointStatus.State.GONE).merge(status));
        EndpointStatus later = new EndpointStatus(6, EndpointStatus.State.SERVING);
        assertEquals(later, status.merge(later), "unknown fields belong to the value they were appended to");
        MemberMetric metric = new MemberMetric(1, 2, 3, "more");
        assertEquals(metric, new MemberMetric(1, 2, 3).merge(metric));
        assertTrue(status.digest() != new EndpointStatus(5, EndpointStatus.State.GONE).digest()
                && metric.digest() != new MemberMetric(1, 2, 3).digest());
        assertThrows(InvalidFieldException.class, () -> new MemberMetric(1, 2, 3, "x".repeat(1_025)));
    }

    @Test
    void prefersLaterStartAndThenSaferState() {
        EndpointStatus gone = new EndpointStatus(5, EndpointStatus.State.GONE);
        assertEquals(gone, new EndpointStatus(5, EndpointStatus.State.SERVING).merge(gone));
        assertEquals(gone, gone.merge(new EndpointStatus(5, EndpointStatus.State.DRAINING)));
        EndpointStatus again = new EndpointStatus(6, EndpointStatus.State.SERVING);
        assertEquals(again, gone.merge(again));
    }

    /** Otherwise nobody could revoke commands of a member whose clock is an hour ahead, for an hour. */
    @Test
    void commandSupersedesKnownCommandsRegardlessOfTimestamps() {
        OperatorCommands ahead =
                OperatorCommands.superseding(null, new OperatorCommand(1, 1, 3_600_000, "close", "a", ""));
        OperatorCommands after =
                OperatorCommands.superseding(ahead, new OperatorCommand(2, 1, 10, OperatorCommand.CLEAR, "b", ""));
        assertEquals(after, ahead.merge(after));
        assertNull(((OperatorCommands) ahead.merge(after)).effective());
    }

    @Test
    void keepsConcurrentCommandsAndReportsConflict() {
        OperatorCommands drain = OperatorCommands.superseding(null, new OperatorCommand(1, 1, 20, "drain", "a", ""));
        OperatorCommands clear =
                OperatorCommands.superseding(null, new OperatorCommand(2, 1, 30, OperatorCommand.CLEAR, "b", ""));
        OperatorCommands both = (OperatorCommands) drain.merge(clear);
        assertTrue(both.conflicting());
        assertEquals("drain", both.effective().action(), "any other command takes precedence over one that clears");
        OperatorCommands settled =
                OperatorCommands.superseding(both, new OperatorCommand(3, 1, 1, OperatorCommand.CLEAR, "c", ""));
        assertEquals(settled, both.merge(settled));
    }

    @Test
    void namesInvalidFields() {
        OperatorCommand command = new OperatorCommand(1, 2, 0, "drain", "a", "");
        assertTrue(assertThrows(
                        InvalidFieldException.class, () -> OperatorCommands.of(Map.of(1L, 1L), List.of(command)))
                .getMessage()
                .contains("incarnation 1"));
        assertThrows(InvalidFieldException.class, () -> new OperatorCommand(1, 1, 0, "x".repeat(129), "a", ""));
        assertThrows(InvalidFieldException.class, () -> new MemberMetric(1, 1, Double.NaN));
        assertThrows(InvalidFieldException.class, () -> EntryKind.ENDPOINT.key("a/b"));
    }
}
