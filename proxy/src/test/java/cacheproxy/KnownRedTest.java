package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * How the script .ci/known-red parses KNOWN-RED.txt. Guards against an entry that the script misreads, so that a
 * failing test goes unnoticed.
 */
@Timeout(60)
class KnownRedTest {
    private static final String ENTRY = "cacheproxy.server.ATest#aMethod, the loop is late, issue 30\n";

    @TempDir
    Path folder;

    private String runNames(String text) throws IOException, InterruptedException {
        Path knownRedFile = Files.writeString(folder.resolve("red"), text);
        Process process = new ProcessBuilder("../.ci/known-red", "names", knownRedFile.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .replace(knownRedFile + ": ", "");
        return process.waitFor() + " " + output;
    }

    @Test
    void printsTheTestNameOfEachEntry() throws Exception {
        assertEquals("0 ", runNames(""));
        assertEquals("0 cacheproxy.server.ATest#aMethod\n", runNames(ENTRY));
        assertEquals("0 cacheproxy.server.ATest#aMethod\n", runNames(ENTRY.strip()));
        assertEquals("0 " + "cacheproxy.server.ATest#aMethod\n".repeat(3), runNames(ENTRY.repeat(3)));
    }

    @Test
    void rejectsFourthEntry() throws Exception {
        assertEquals(
                "1 " + "cacheproxy.server.ATest#aMethod\n".repeat(3) + "line 4: three are the most\n",
                runNames(ENTRY.repeat(4)));
    }

    @Test
    void rejectsEntryWithoutTestCauseOrIssue() throws Exception {
        for (String invalidEntry : new String[] {
            "",
            "ATest",
            "cacheproxy.routing.ATest, why, issue 3",
            "cacheproxy.routing.ATest#a, , issue 3",
            "cacheproxy.routing.ATest#a, why",
            "cacheproxy.routing.ATest#a, why, issue x",
            "cacheproxy.routing.A*#a, why, issue 3",
            "A#a, why, issue 3"
        }) {
            assertEquals(
                    "1 line 1: not 'package.Class#method, cause, issue N': " + invalidEntry + "\n",
                    runNames(invalidEntry + "\n"));
        }
    }
}
