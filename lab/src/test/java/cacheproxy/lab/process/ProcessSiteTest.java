package cacheproxy.lab.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.metrics.Outcome;
import cacheproxy.lab.scenario.Fault;
import cacheproxy.lab.scenario.SiteModel;
import cacheproxy.lab.scenario.SiteSimulationTest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Proxies as processes of their own. What is asserted holds on a machine of any speed. */
class ProcessSiteTest {
    @TempDir
    private Path folder;

    private static SiteModel site() {
        SiteModel m = SiteSimulationTest.site(SiteSimulationTest.FREE, 6, 0.3);
        return new SiteModel(
                m.zones(),
                3,
                6,
                0.3,
                0.55,
                1_500,
                9_000,
                true,
                m.machines(),
                m.node(),
                m.network(),
                m.origin(),
                m.discovery(),
                m.clients(),
                m.proxy(),
                m.classes(),
                m.tenants(),
                m.load());
    }

    private ProcessSite.Program program(String main) {
        return new ProcessSite.Program(
                List.of(
                        "sh",
                        "-c",
                        "echo started; exec \"$@\"",
                        "sh",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx80m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        main,
                        "serve"),
                folder);
    }

    /** What the proxies have said, for who finds a rule broken. */
    private String said() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            try {
                all.append("n").append(i).append(": ").append(Files.readString(folder.resolve("n" + i + ".log")));
            } catch (IOException e) {
                all.append(e);
            }
        }
        return all.toString();
    }

    /**
     * Guards against: an engine that only says that it kills, stops and cuts; or stand-ins that break a rule by
     * themselves.
     */
    @Test
    void processesAreKilledStoppedEndedAndCutOffAndNoRuleIsBroken() throws Exception {
        List<Fault> faults = List.of(
                new Fault(1, Fault.Kind.PROXIES_KILLED, 0, 1, 0.34, "", ""),
                new Fault(2, Fault.Kind.NODES_RESTARTED, 0.5, 1, 0.34, "", ""),
                new Fault(4, Fault.Kind.SITE_APART, 1, 1, 1, "west", ""),
                new Fault(5.5, Fault.Kind.PROXIES_STALLED, 0.3, 1, 0.34, "", ""),
                new Fault(6, Fault.Kind.PROXIES_ROLLED, 1, 1, 1, "", ""));
        Outcome o = ProcessSite.run(site(), faults, 3, program("cacheproxy.app.Main"));
        assertEquals(List.of(), o.broken(), this::said);
        assertTrue(
                o.asked() > 100 && o.figures().get("in time") > 0.3, o.figures().toString());
        long starts = 0;
        for (int i = 0; i < 3; i++) {
            starts += Files.readAllLines(folder.resolve("n" + i + ".log")).stream()
                    .filter(l -> l.equals("started"))
                    .count();
        }
        assertEquals(7, starts, "three, one that was killed, and three that were told to end");
        assertTrue(java.util.Arrays.stream(o.series().get("nodes up")).min().orElseThrow() <= 4);
        assertTrue(o.figures().get("across zones") > 0, "nothing went through the relay");
    }

    /**
     * Guards against: nodes that are down only between two samples, which are a second apart, look as if they had never
     * been down. Beside much load the samples come late, which hid a restart of half a second.
     */
    @Test
    void nodesThatAreDownBetweenTwoSamplesAreCounted() throws Exception {
        Fault restart = new Fault(2.3, Fault.Kind.NODES_RESTARTED, 0.2, 1, 0.34, "", "");
        Outcome o = ProcessSite.run(site(), List.of(restart), 3, program("cacheproxy.app.Main"));
        assertEquals(List.of(), o.broken(), this::said);
        assertEquals(
                4, java.util.Arrays.stream(o.series().get("nodes up")).min().orElseThrow());
    }

    /** Guards against: a site that is only said to be cut off, or one that is blamed for what could not reach it. */
    @Test
    void aSiteIsCutOffAndComesBackWarmAndNoRuleIsBroken() throws Exception {
        Fault cut = new Fault(2, Fault.Kind.SITE_CUT, 3, 1, 1, "west", "");
        Outcome o = ProcessSite.run(site(), List.of(cut), 5, program("cacheproxy.app.Main"));
        assertEquals(List.of(), o.broken(), this::said);
        double asked = o.series().get("asked")[2];
        double inTime = o.series().get("in time")[2];
        assertTrue(
                asked > 0 && inTime < 0.9 * asked,
                "before the front noticed " + inTime + " of " + asked + " were in time");
        assertEquals(
                6, java.util.Arrays.stream(o.series().get("nodes up")).min().orElseThrow(), "nothing has died");
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    1,
                    Files.readAllLines(folder.resolve("n" + i + ".log")).stream()
                            .filter(l -> l.equals("started"))
                            .count());
        }
    }

    @Test
    void aProxyThatDoesNotGetReadyIsSaid() {
        IOException e = assertThrows(
                IOException.class, () -> ProcessSite.run(site(), List.of(), 1, program("cacheproxy.none.Main")));
        assertTrue(
                e.getMessage().contains("did not get ready and has ended")
                        && e.getMessage().contains("cacheproxy.none.Main"),
                e.getMessage());
    }
}
