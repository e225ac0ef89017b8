package cacheproxy.supervise;

/** The effects that the supervisor requests from the agent, applied in the order of the calls. */
public interface SupervisorActions {
    /**
     * Writes a record to the journal and syncs it before returning. Returns false on failure; the announced action must
     * then not be carried out.
     */
    boolean appendToJournal(JournalRecord journalRecord);

    /** An unguessable secret for one start. */
    String secret();

    /** Creates the process; always answered by {@link Supervisor#spawned} or {@link Supervisor#spawnFailed}. */
    void spawn(String name, int start, String secret);

    /**
     * Searches for the process of a start by an earlier agent. Answered once by {@link Supervisor#searchCompleted}, or
     * by {@link Supervisor#searchFailed} if the search could not be carried out, and requested again if not answered
     * within {@link SupervisionPolicy#forkMs}. {@code identity} may be null. Also requested for starts before the last
     * one if the last one found its name lock held by another process.
     */
    void search(String name, int start, UniqueProcessId identity, String secret);

    /** Sends SIGTERM if the process with this pid is still the same one. */
    void terminate(String name, UniqueProcessId identity);

    /** Sends SIGKILL if the process with this pid is still the same one. */
    void kill(String name, UniqueProcessId identity);

    /** Runs a health check; answered by {@link Supervisor#probed} or {@link Supervisor#probeFailed}. */
    void probe(String name, int start);

    /**
     * Writes the configuration file and requests a reload; always answered by {@link Supervisor#reloaded} or
     * {@link Supervisor#reloadFailed}.
     */
    void reload(String name, int start);

    /** Adds a message for operators to the event log. */
    void logEvent(String name, String message);
}
