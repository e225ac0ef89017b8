package cacheproxy.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Observes the processes of a site independently of the agent, by their environment in /proc. A thread scans every few
 * milliseconds and records each pid of each instance, and any two processes of one instance at the same time.
 */
final class ProcessObserver implements AutoCloseable {
    private static final long SCAN_INTERVAL_MS = 15;
    /** Until exec, a child process shows its parent's environment, so new pids are read again for this long. */
    private static final long ENVIRONMENT_SETTLED_NS = 3_000_000_000L;

    private static final String CONTROL_VARIABLE = "LB_CONTROL=";

    private final String socketPrefix;
    private final Map<Long, Long> firstSeenNs = new HashMap<>();
    private final Map<Long, String> instanceNames = new HashMap<>();
    private final Map<String, Set<Long>> observedPids = new TreeMap<>();
    private final List<String> simultaneousProcesses = new ArrayList<>();
    private final Thread thread;
    private volatile boolean closed;

    ProcessObserver(Path folder) {
        socketPrefix = CONTROL_VARIABLE + folder.resolve("run") + "/";
        thread = new Thread(this::scanRepeatedly, "running");
        thread.setDaemon(true);
        thread.start();
    }

    private void scanRepeatedly() {
        while (!closed) {
            scan();
            try {
                Thread.sleep(SCAN_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** The running processes by instance name; zombies are excluded. */
    synchronized Map<String, Set<Long>> scan() {
        Map<String, Set<Long>> running = new TreeMap<>();
        Set<Long> existing = new TreeSet<>();
        try (DirectoryStream<Path> processes = Files.newDirectoryStream(Path.of("/proc"), "[0-9]*")) {
            for (Path directory : processes) {
                long pid = Long.parseLong(directory.getFileName().toString());
                existing.add(pid);
                String name = instanceNames.get(pid);
                if (name == null
                        && System.nanoTime() - firstSeenNs.computeIfAbsent(pid, x -> System.nanoTime())
                                < ENVIRONMENT_SETTLED_NS) {
                    name = name(directory);
                }
                if (name != null && isRunning(directory)) {
                    instanceNames.put(pid, name);
                    running.computeIfAbsent(name, x -> new TreeSet<>()).add(pid);
                }
            }
        } catch (IOException | RuntimeException e) {
            return running; // a process ended while it was read
        }
        instanceNames.keySet().retainAll(existing);
        firstSeenNs.keySet().retainAll(existing);
        running.forEach((name, pids) -> {
            observedPids.computeIfAbsent(name, x -> new TreeSet<>()).addAll(pids);
            if (pids.size() > 1) {
                simultaneousProcesses.add(name + " " + pids);
            }
        });
        return running;
    }

    private String name(Path process) {
        try {
            String environment = Files.readString(process.resolve("environ"), StandardCharsets.ISO_8859_1);
            for (String variable : environment.split("\0")) {
                if (variable.startsWith(socketPrefix)) {
                    return variable.substring(socketPrefix.length(), variable.length() - ".sock".length());
                }
            }
        } catch (IOException e) {
            // the process has ended or belongs to another user
        }
        return null;
    }

    private static boolean isRunning(Path process) {
        try {
            String stat = Files.readString(process.resolve("stat"), StandardCharsets.ISO_8859_1);
            char state = stat.charAt(stat.lastIndexOf(')') + 2);
            return state != 'Z' && state != 'X';
        } catch (IOException e) {
            return false;
        }
    }

    /** All pids that each instance has had. */
    synchronized Map<String, Set<Long>> observedPids() {
        scan();
        Map<String, Set<Long>> copy = new TreeMap<>();
        observedPids.forEach((name, pids) -> copy.put(name, new TreeSet<>(pids)));
        return copy;
    }

    /** Cases of two processes of one instance at the same time. */
    synchronized List<String> simultaneousProcesses() {
        return List.copyOf(simultaneousProcesses);
    }

    /** Kills all running processes of the site; no more may be started. */
    void killAll() throws InterruptedException {
        for (int emptyScans = 0; emptyScans < 3; ) {
            Map<String, Set<Long>> running = scan();
            running.values()
                    .forEach(pids ->
                            pids.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly)));
            emptyScans = running.isEmpty() ? emptyScans + 1 : 0;
            Thread.sleep(50); // a fork in progress is recognised within this time
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
