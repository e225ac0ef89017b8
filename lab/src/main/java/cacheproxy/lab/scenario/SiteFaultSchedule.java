package cacheproxy.lab.scenario;

import cacheproxy.lab.simulation.SimulationScheduler;
import cacheproxy.lab.standin.ClientModel;
import cacheproxy.lab.standin.IdempotencyMemory;
import cacheproxy.lab.standin.ScriptedClient;
import cacheproxy.lab.standin.SiteSettings;
import cacheproxy.lab.verification.Findings;
import cacheproxy.lab.verification.Violation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A site, its load and its faults, all drawn from a seed: every run of it is the same. */
record SiteFaultSchedule(long seed, List<ScheduledFault> faults) {
    private static final long ARRIVALS_MS = 6_000;
    private static final long AFTER_MS = 9_000;
    private static final long END_MS = 6_000;

    /** The result of a run. */
    record Result(Findings findings, List<String> broken, long simulatedMs, long events) {
        boolean clean() {
            return broken.isEmpty();
        }
    }

    static SiteFaultSchedule draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = 2 + random.nextInt(random.nextBoolean() ? 8 : 30);
        return new SiteFaultSchedule(seed, ScheduledFault.draw(random, count, ARRIVALS_MS));
    }

    /** Parses "seed: fault; fault", as formatted by {@link #toString}, or a seed alone. */
    static SiteFaultSchedule parse(String text) {
        int colon = text.indexOf(':');
        if (colon < 0) {
            return draw(Long.parseLong(text.strip()));
        }
        List<ScheduledFault> all = new ArrayList<>();
        for (String part : text.substring(colon + 1).split(";")) {
            if (!part.isBlank()) {
                all.add(ScheduledFault.parse(part));
            }
        }
        return new SiteFaultSchedule(Long.parseLong(text.substring(0, colon).strip()), all);
    }

    @Override
    public String toString() {
        return seed + ": "
                + String.join(
                        "; ", faults.stream().map(ScheduledFault::toString).toList());
    }

    private static SiteSettings site(SplittableRandom r) {
        SiteSettings s = new SiteSettings();
        s.multiplex = r.nextInt(3) == 0 ? 4 : 1;
        s.secondCopies = r.nextBoolean();
        s.retryAfter = r.nextInt(4) != 0;
        s.subscribe = r.nextInt(4) != 0;
        s.mayCancel = r.nextInt(5) != 0;
        s.askWithinMs = r.nextBoolean() ? 10_000 : 1500;
        s.dialTimeoutMs = r.nextInt(3) == 0 ? 1500 : 250;
        double writes = r.nextInt(3) == 0 ? 0.4 : 0.1;
        s.kinds.replaceAll(k -> new SiteSettings.Kind(
                k.name(),
                k.effect(),
                k.group(),
                k.targetMs(),
                k.deadlineMs(),
                k.lateWorth(),
                k.windowMs(),
                k.value(),
                k.name().equals("lookup") ? 1 - 2 * writes : writes,
                20,
                k.cv()));
        SiteSettings.Kind submit = s.kind("submit").window(r.nextBoolean() ? 5000 : 600);
        s.put(submit.group(IdempotencyMemory.Group.values()[r.nextInt(3)]));
        // quotas add up to the capacity of the nodes, as an operator would set them
        s.tenants.replaceAll(t -> new SiteSettings.Tenant(t.name(), t.quotaPerS() * 3, t.share(), t.usage()));
        return s;
    }

    Result run() {
        return run(site -> {});
    }

    /** Runs it; {@code look} inspects the site at the end. */
    Result run(Consumer<SimulatedSite> look) {
        SplittableRandom r = new SplittableRandom(seed ^ 0x5deece66dL);
        SiteSettings settings = site(r);
        SimulatedSite site = new SimulatedSite(seed, settings, 1 + r.nextInt(4), 3 + r.nextInt(4));
        ClientModel model = new ClientModel();
        model.keys = 200;
        model.pipeline = r.nextInt(3) == 0 ? 4 : 1;
        ScriptedClient client = site.client(model);
        double perS = 20 + r.nextInt(r.nextInt(4) == 0 ? 300 : 60);
        List<String> broken = new ArrayList<>();
        FaultInjector plan = new FaultInjector(site);
        try {
            site.open();
            client.arrivals(ARRIVALS_MS * SimulatedSite.MS, () -> site.front.isEmpty() ? 0 : perS);
            plan.plan(faults);
            site.scheduler.runUntil((ARRIVALS_MS + AFTER_MS) * SimulatedSite.MS);
            settled(site, broken);
            site.proxySlots.forEach(site::term);
            site.scheduler.runUntil((ARRIVALS_MS + AFTER_MS + END_MS) * SimulatedSite.MS);
            ended(site, broken);
        } catch (SimulationScheduler.Runaway | AssertionError e) {
            broken.add(String.valueOf(e));
        }
        look.accept(site);
        Findings findings = site.judge();
        for (Violation v : findings.violations()) {
            broken.add(v.toString());
        }
        return new Result(findings, broken, site.scheduler.now() / SimulatedSite.MS, site.scheduler.events());
    }

    /** Checks for leaks: whatever happened, nothing is held once there are no requests. */
    private static void settled(SimulatedSite site, List<String> broken) {
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            if (s.up()) {
                for (Map.Entry<String, Long> held : s.process.reserved().entrySet()) {
                    if (held.getValue() != 0) {
                        broken.add(s.name() + " still holds " + held);
                    }
                }
            }
        }
    }

    private static void ended(SimulatedSite site, List<String> broken) {
        for (SimulatedSite.ProxySlot s : site.proxySlots) {
            if (s.up()) {
                broken.add(s.name() + " has not ended");
            }
        }
    }

    /** Reduces the faults to a minimal set that still violates a rule. */
    SiteFaultSchedule shrunk() {
        List<ScheduledFault> kept = new ArrayList<>(faults);
        for (int size = Math.max(1, kept.size() / 2); size >= 1; size /= 2) {
            for (int at = 0; at < kept.size(); ) {
                List<ScheduledFault> fewer = new ArrayList<>(kept);
                fewer.subList(at, Math.min(at + size, fewer.size())).clear();
                if (!new SiteFaultSchedule(seed, fewer).run().clean()) {
                    kept = fewer;
                } else {
                    at += size;
                }
            }
        }
        return new SiteFaultSchedule(seed, kept);
    }
}
