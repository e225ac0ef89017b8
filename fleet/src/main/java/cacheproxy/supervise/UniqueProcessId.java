package cacheproxy.supervise;

/**
 * Identifies a process uniquely. A pid alone may be reused, and the wall clock may be adjusted.
 *
 * @param startTicks start time in kernel clock ticks since boot (proc(5), stat, field 22)
 */
public record UniqueProcessId(long pid, long startTicks, String bootId) {}
