package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Limits on the source files of the routing package. */
class ModuleLimitsTest {
    private static final Path SOURCES = Path.of("src/main/java/cacheproxy/routing");
    private static final int MAX_NON_BLANK_LINES = 400;

    @Test
    void everyFileHasAtMost400NonBlankLines() throws IOException {
        List<Path> files;
        try (Stream<Path> paths = Files.walk(SOURCES)) {
            files = paths.filter(Files::isRegularFile).toList();
        }
        assertTrue(files.contains(SOURCES.resolve("FairRouter.java")), files.toString());
        List<String> tooLong = new ArrayList<>();
        for (Path file : files) {
            try (Stream<String> lines = Files.lines(file)) {
                long count = lines.filter(line -> !line.isBlank()).count();
                if (count > MAX_NON_BLANK_LINES) {
                    tooLong.add(file.getFileName() + ": " + count);
                }
            }
        }
        assertEquals(List.of(), tooLong);
    }

    @Test
    void classCommentOfFairRouterLinksToItsInterface() throws IOException {
        String source = Files.readString(SOURCES.resolve("FairRouter.java"));
        int start = source.indexOf("/**");
        int end = source.indexOf("*/", start);
        int declaration = source.indexOf("public final class FairRouter implements RequestRouter {");
        assertTrue(start >= 0 && end > start && end < declaration, "the first comment is the class comment");
        assertEquals("", source.substring(end + 2, declaration).strip());
        assertTrue(source.substring(start, end).contains("{@link RequestRouter}"));
    }
}
