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
    private static final String COMMAND = "mvn -B test -Dtest=cacheproxy.server.ATest#aMethod";
    private static final String ENTRY =
            "cacheproxy.server.ATest#aMethod | " + COMMAND + ", seed 3 | the loop is late | issue 30\n";

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
    void takesEntryWithoutSeedOnlyIfItSaysSo() throws Exception {
        assertEquals("0 cacheproxy.server.ATest#aMethod\n", runNames(ENTRY.replace("seed 3", "seed none")));
        assertRejected(ENTRY.strip().replace(", seed 3", ""));
    }

    /** Guards against an entry whose command plays another test than the one that is passed over. */
    @Test
    void rejectsCommandOfAnotherTest() throws Exception {
        String other = "mvn -B test -Dtest=cacheproxy.server.ATest#another";
        assertEquals(
                "1 line 1: the command does not run cacheproxy.server.ATest#aMethod: " + other + "\n",
                runNames(ENTRY.replace(COMMAND, other)));
    }

    private void assertRejected(String entry) throws Exception {
        assertEquals(
                "1 line 1: not 'package.Class#method | command, seed N | what was seen | issue N': " + entry + "\n",
                runNames(entry + "\n"));
    }

    @Test
    void rejectsEntryWithoutTestCommandSeedObservationOrIssue() throws Exception {
        String valid = ENTRY.strip();
        for (String invalidEntry : new String[] {
            "",
            "ATest",
            "cacheproxy.server.ATest#aMethod, why, issue 3",
            valid.replace("ATest#aMethod |", "ATest |"),
            valid.replace("ATest#aMethod |", "A*#aMethod |"),
            valid.replace("cacheproxy.server.ATest#aMethod |", "A#a |"),
            valid.replace(COMMAND, " "),
            valid.replace("seed 3", "seed x"),
            valid.replace("the loop is late", ""),
            valid.replace("the loop is late", " "),
            valid.replace(" | issue 30", ""),
            valid.replace("issue 30", "issue x"),
            valid + " | more"
        }) {
            assertRejected(invalidEntry);
        }
    }
}
