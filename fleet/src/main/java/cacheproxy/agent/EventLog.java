package cacheproxy.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The event log: recent events are kept in memory with their numbers, all are written to a file that is rotated. */
final class EventLog {
    private static final int MAX_EVENTS_IN_MEMORY = 5_000;

    /** An event; {@code name} is empty for the agent itself. */
    record Event(long number, String time, String name, String what) {
        Map<String, Object> toMap() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("number", number);
            map.put("time", time);
            map.put("name", name);
            map.put("what", what);
            return map;
        }
    }

    private final Path file;
    private final ArrayDeque<Event> recent = new ArrayDeque<>();
    private long nextNumber = 1;

    EventLog(Path file) {
        this.file = file;
    }

    synchronized void add(String name, String what) {
        String time = Instant.now().truncatedTo(ChronoUnit.MILLIS).toString();
        String line = what.replaceAll("[\\p{Cc}\\p{Cf}\\p{Zl}\\p{Zp}]", "?");
        Event event = new Event(nextNumber++, time, name, line);
        recent.add(event);
        if (recent.size() > MAX_EVENTS_IN_MEMORY) {
            recent.poll();
        }
        notifyAll();
        try {
            LogRotation.rotate(file, LogRotation.MAX_BYTES);
            Files.writeString(
                    file,
                    time + " " + (name.isEmpty() ? "agent" : name) + " " + line + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            // for example a full disk: events remain available from memory
        }
    }

    /** Up to {@code maxEvents} events, starting at this number. */
    synchronized List<Event> from(long number, int maxEvents) {
        List<Event> selected = new ArrayList<>();
        for (Event event : recent) {
            if (event.number >= number && selected.size() < maxEvents) {
                selected.add(event);
            }
        }
        return selected;
    }

    synchronized long nextNumber() {
        return nextNumber;
    }
}
