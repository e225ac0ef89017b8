package cacheproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the default agents of a command, including the names that earlier versions used. */
class AgentSelectionTest {
    private static final String CURRENT = "CACHEPROXY_AGENTS";
    private static final String EARLIER = "HATCH_AGENTS";

    @TempDir
    Path here;

    private List<String> selected(Map<String, String> environment, String... given) {
        return new AgentSelection(List.of(given), environment, here)
                .all().stream().map(a -> a.name() + "=" + a.folder()).toList();
    }

    @Test
    void readsEarlierVariableIfCurrentOneIsNotSet() {
        assertEquals(List.of("a=/x", "b=/y"), selected(Map.of(CURRENT, "a=/x,b=/y")));
        assertEquals(List.of("a=/x", "b=/y"), selected(Map.of(EARLIER, "a=/x,b=/y")));
        assertEquals(List.of("a=/x"), selected(Map.of(CURRENT, " ", EARLIER, "a=/x")));
        assertEquals(List.of("b=/y"), selected(Map.of(CURRENT, "b=/y", EARLIER, "a=/x")));
        assertEquals(List.of("c=/z"), selected(Map.of(CURRENT, "b=/y", EARLIER, "a=/x"), "c=/z"));
    }

    @Test
    void usesEarlierFolderIfCurrentOneDoesNotExist() throws IOException {
        Path earlier = Files.createDirectory(here.resolve(".hatch"));
        assertEquals(List.of("local=" + earlier), selected(Map.of()));
        assertEquals(List.of("a=/x"), selected(Map.of(EARLIER, "a=/x")));
        Path current = Files.createDirectory(here.resolve(".cacheproxy"));
        assertEquals(List.of("local=" + current), selected(Map.of()));
        assertEquals(List.of("local=" + earlier), selected(Map.of(), earlier.toString()));
    }

    @Test
    void usesEarlierDefaultFolderIfCurrentOneDoesNotExist() throws IOException {
        Path current = here.resolve("cacheproxy-eve");
        Path earlier = here.resolve("hatch-eve");
        assertEquals(current, AgentSelection.defaultFolder(here, "eve"));
        Files.createDirectory(earlier);
        assertEquals(earlier, AgentSelection.defaultFolder(here, "eve"));
        assertEquals(here.resolve("cacheproxy-bob"), AgentSelection.defaultFolder(here, "bob"));
        Files.createDirectory(current);
        assertEquals(current, AgentSelection.defaultFolder(here, "eve"));
    }
}
