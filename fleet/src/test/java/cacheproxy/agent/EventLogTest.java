package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The event log in memory and in its file. */
class EventLogTest {
    private static final int MAX_EVENTS_IN_MEMORY = 5_000;

    @TempDir
    Path folder;

    @Test
    void numbersEventsAndReturnsThemFromAGivenNumber() {
        EventLog events = new EventLog(folder.resolve("e"));
        assertEquals(1, events.nextNumber());
        assertEquals(List.of(), events.from(0, 10));
        events.add("", "agent begins");
        events.add("n0", "starting");
        events.add("n0", "ready");
        assertEquals(4, events.nextNumber());
        assertEquals(
                List.of(1L, 2L, 3L),
                events.from(1, 10).stream().map(EventLog.Event::number).toList());
        assertEquals(
                List.of(2L),
                events.from(2, 1).stream().map(EventLog.Event::number).toList());
        assertEquals(List.of(), events.from(4, 10));
        assertEquals(List.of(), events.from(Long.MAX_VALUE, 10));
        EventLog.Event e = events.from(2, 1).get(0);
        assertEquals(Set.of("number", "time", "name", "what"), e.toMap().keySet());
        assertEquals("starting", e.toMap().get("what"));
        assertEquals("n0", e.toMap().get("name"));
        assertEquals(e.time(), Instant.parse(e.time()).toString());
    }

    @Test
    void writesOneLinePerEventAndAppendsAfterAgentRestart() throws IOException {
        Path file = folder.resolve("e");
        EventLog events = new EventLog(file);
        events.add("", "agent begins");
        events.add("n0", "two\nlines\r\u001b[2J\u0000\u0085\u009b1m\u2028end");
        new EventLog(file).add("n0", "ready");
        List<String> lines = Files.readAllLines(file);
        assertEquals(3, lines.size());
        assertTrue(lines.get(0).endsWith("Z agent agent begins"), lines.get(0));
        assertTrue(lines.get(1).endsWith("Z n0 two?lines??[2J???1m?end"), lines.get(1));
        assertEquals("two?lines??[2J???1m?end", events.from(2, 1).get(0).what());
    }

    @Test
    void keepsMostRecentEventsInMemory() {
        EventLog events = new EventLog(folder.resolve("none").resolve("e")); // the file cannot be created
        for (int i = 1; i <= MAX_EVENTS_IN_MEMORY + 10; i++) {
            events.add("n0", "x" + i);
        }
        List<EventLog.Event> all = events.from(1, Integer.MAX_VALUE);
        assertEquals(MAX_EVENTS_IN_MEMORY, all.size());
        assertEquals(11, all.get(0).number());
        assertEquals(
                "x" + (MAX_EVENTS_IN_MEMORY + 10),
                all.get(MAX_EVENTS_IN_MEMORY - 1).what());
        assertEquals(MAX_EVENTS_IN_MEMORY + 11, events.nextNumber());
        assertFalse(Files.exists(folder.resolve("none")));
    }

    @Test
    void rotatesFileOverItsBound() throws IOException {
        Path file = folder.resolve("e");
        Files.write(file, new byte[(int) LogRotation.MAX_BYTES + 1]);
        new EventLog(file).add("", "after");
        assertTrue(Files.readString(file).endsWith("Z agent after\n"));
        assertEquals(1, Files.readAllLines(file).size());
        assertEquals(LogRotation.MAX_BYTES + 1, Files.size(LogRotation.numbered(file, 1)));
    }

    @Test
    void keepsAgentFilesApartFromInstanceFiles() {
        StateFolder stateFolder = new StateFolder(folder);
        assertNotEquals(stateFolder.events(), stateFolder.log("events"));
        assertNotEquals(stateFolder.agentSocket(), stateFolder.socket("agent"));
    }
}
