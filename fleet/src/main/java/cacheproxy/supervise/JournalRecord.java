package cacheproxy.supervise;

import java.util.List;

/** A journal record, written before an action or once an event is known; replayed by the next agent. */
public sealed interface JournalRecord {
    /** The site file as text; replaces the previous declaration. */
    record SiteDeclared(String site) implements JournalRecord {}

    /** Whether the named instance should run. */
    record DesiredStateSet(String name, boolean running) implements JournalRecord {}

    /**
     * Announces start number {@code start} of an instance. If its process does not exist {@code forkMs} after this was
     * written, it is assumed never to be created. The time is stored here because the instance may no longer be
     * declared at replay.
     */
    record StartAnnounced(String name, int start, String secret, String launch, long forkMs) implements JournalRecord {}

    /** Identifies the process of a start, so that the next agent recognises it. */
    record ProcessStarted(String name, int start, UniqueProcessId identity) implements JournalRecord {}

    /**
     * The process of a start has ended or was never created.
     *
     * @param code exit code; -1: unknown
     * @param failures consecutive crashes so far
     */
    record ProcessEnded(String name, int start, int code, int failures) implements JournalRecord {}

    /** Begins a rolling restart of these instances, at most {@code mostDown} of them down at once. */
    record RollingRestartBegun(int id, List<String> names, int mostDown) implements JournalRecord {}

    /** The rolling restart begins to replace start number {@code start} of an instance. */
    record RollingRestartInstanceBegun(int id, String name, int start) implements JournalRecord {}

    /** The instance is ready again after its restart. */
    record RollingRestartInstanceDone(int id, String name) implements JournalRecord {}

    /** The rolling restart ended; {@code why} is the reason it stopped, empty if all instances were restarted. */
    record RollingRestartEnded(int id, String why) implements JournalRecord {}
}
