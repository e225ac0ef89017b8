package cacheproxy.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Rotation of log files that other processes keep open for appending. */
@Timeout(60)
class LogRotationTest {
    @TempDir
    Path folder;

    private Path file;

    @BeforeEach
    void file() {
        file = folder.resolve("n0.log");
    }

    private Set<String> names() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(p -> p.getFileName().toString()).collect(Collectors.toSet());
        }
    }

    private String rotated(int i) throws IOException {
        return Files.readString(LogRotation.numbered(file, i));
    }

    @Test
    void leavesFileWithinItsBoundUnchanged() throws IOException {
        assertFalse(LogRotation.rotate(file, 3), "no such file");
        assertEquals(Set.of(), names());
        Files.writeString(file, "abc");
        assertFalse(LogRotation.rotate(file, 3));
        assertEquals(Set.of("n0.log"), names());
        assertEquals("abc", Files.readString(file));
    }

    @Test
    void keepsLastThreeRotatedFilesInOrder() throws IOException {
        for (int i = 1; i <= 6; i++) {
            Files.writeString(file, "old" + i);
            assertTrue(LogRotation.rotate(file, 3));
            assertEquals(0, Files.size(file));
            assertEquals("old" + i, rotated(1));
        }
        assertEquals(Set.of("n0.log", "n0.log.1", "n0.log.2", "n0.log.3"), names());
        assertEquals(List.of("old6", "old5", "old4"), List.of(rotated(1), rotated(2), rotated(3)));
        assertEquals(3, LogRotation.MAX_ROTATED_FILES);
    }

    @Test
    void letsWriterContinueAtTheBeginningOfTheSameFile() throws IOException {
        try (OutputStream out = new FileOutputStream(file.toFile(), true)) {
            out.write("before".getBytes(StandardCharsets.UTF_8));
            LogRotation.rotate(file, 3);
            out.write("after".getBytes(StandardCharsets.UTF_8));
        }
        assertEquals("before", rotated(1));
        assertEquals("after", Files.readString(file), "no gap at the beginning of the file");
    }

    @Test
    void doesNotTruncateFileThatCannotBeCopied() throws IOException {
        Files.writeString(file, "all of it");
        Path obstacle = Files.createDirectories(LogRotation.numbered(file, 3).resolve("full"));
        Files.writeString(LogRotation.numbered(file, 2), "older");
        try {
            LogRotation.rotate(file, 3);
        } catch (IOException e) {
            assertTrue(Files.exists(obstacle));
        }
        assertEquals("all of it", Files.readString(file));
        assertEquals("older", rotated(2));
    }

    /** Lines may be lost only between copy and truncation: at most one gap for each rotation, and in order. */
    @Test
    void losesLinesOfAConcurrentWriterOnlyBetweenCopyAndTruncation() throws Exception {
        AtomicReference<Throwable> fault = new AtomicReference<>();
        int lines = 40_000;
        Thread writer = new Thread(
                () -> {
                    try (OutputStream out = new FileOutputStream(file.toFile(), true)) {
                        for (int i = 0; i < lines; i++) {
                            out.write(String.format("line %07d%n", i).getBytes(StandardCharsets.UTF_8));
                        }
                    } catch (IOException e) {
                        fault.set(e);
                    }
                },
                "writer");
        writer.start();
        List<String> parts = new ArrayList<>(); // the content of each rotated file
        long maxBytes = 64 << 10;
        while (writer.isAlive()) {
            if (LogRotation.rotate(file, maxBytes)) {
                parts.add(rotated(1));
                assertTrue(Files.size(LogRotation.numbered(file, 1)) > maxBytes);
            }
        }
        writer.join();
        assertEquals(null, fault.get());
        parts.add(Files.readString(file));
        assertTrue(parts.size() > 1, "rotated at least once");
        int nextNumber = 0;
        for (String part : parts) {
            List<Integer> numbers = new ArrayList<>();
            for (String line : part.split("\n")) {
                if (line.matches("line [0-9]{7}")) {
                    numbers.add(Integer.parseInt(line.substring(5)));
                } else {
                    assertTrue(part.endsWith(line), "incomplete line inside a file: " + line);
                }
            }
            for (int i = 0; i < numbers.size(); i++) {
                assertTrue(
                        i == 0 ? numbers.get(0) >= nextNumber : numbers.get(i) == nextNumber,
                        "at " + nextNumber + ": " + numbers.get(i));
                nextNumber = numbers.get(i) + 1;
            }
        }
        assertEquals(lines, nextNumber, "the last line is there");
        assertTrue(names().size() <= 1 + LogRotation.MAX_ROTATED_FILES, names().toString());
    }
}
