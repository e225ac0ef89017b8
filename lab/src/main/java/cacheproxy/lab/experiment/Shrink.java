package cacheproxy.lab.experiment;

import cacheproxy.lab.scenario.Fault;
import cacheproxy.lab.scenario.SiteModel;
import cacheproxy.lab.scenario.SiteValidator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Shrinks a failing variant to a small site and a minimal set of faults that still violate the same rule: delta
 * debugging (Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input) over the faults, then halving of
 * sizes. Every candidate is a whole run.
 */
public final class Shrink {
    /** Runs a site and returns the violated rules and errors; empty if none. */
    public interface Play {
        List<String> broken(SiteModel site, List<Fault> faults, long seed);
    }

    /** The shrunk variant, what it violates, and the number of runs. */
    public record Left(Experiment.Variant variant, List<String> broken, int plays) {}

    /** Fields that may be halved, with their minimum. */
    private static final List<String> SIZES =
            List.of("lengthMs", "nodes", "proxies", "clients.keys", "warmMs", "ofCapacity");

    private static final double LEAST_CAPACITY = 0.02;

    private final Play play;
    private final int most;
    private final long seed;
    private int plays;
    private String rule;
    private List<String> broken;
    private Experiment.Variant kept;

    /** Creates a shrinker with a maximum number of runs. */
    public Shrink(Play play, int most, long seed) {
        this.play = play;
        this.most = most;
        this.seed = seed;
    }

    /**
     * Shrinks a variant.
     *
     * @throws IllegalArgumentException if it violates nothing with this seed
     */
    public Left of(Experiment.Variant v) {
        kept = v;
        plays++;
        broken = play.broken(v.site(), v.faults(), seed);
        if (broken.isEmpty()) {
            throw new IllegalArgumentException(v.name() + " breaks nothing with seed " + seed);
        }
        rule = rule(broken.get(0));
        boolean smaller = true;
        while (smaller && plays < most) {
            smaller = fewer() | shorter() | halves();
        }
        return new Left(kept, broken, plays);
    }

    /** The part of a message that names the rule; for an error its own text. */
    private static String rule(String line) {
        int colon = line.indexOf(':');
        return colon < 0 ? line : line.substring(0, colon);
    }

    private boolean breaks(Experiment.Variant v) {
        if (plays >= most || !SiteValidator.of(v.site(), v.faults()).isEmpty()) {
            return false;
        }
        plays++;
        List<String> now = play.broken(v.site(), v.faults(), seed);
        if (now.stream().noneMatch(b -> rule(b).equals(rule))) {
            return false;
        }
        kept = v;
        broken = now;
        return true;
    }

    private boolean fewer() {
        boolean any = false;
        for (int size = Math.max(1, kept.faults().size() / 2); size >= 1; size /= 2) {
            for (int at = 0; at < kept.faults().size(); ) {
                List<Fault> some = new ArrayList<>(kept.faults());
                some.subList(at, Math.min(at + size, some.size())).clear();
                if (breaks(with(kept.site(), some))) {
                    any = true;
                } else {
                    at += size;
                }
            }
        }
        return any;
    }

    private boolean shorter() {
        boolean any = false;
        for (int i = 0; i < kept.faults().size(); i++) {
            Fault t = kept.faults().get(i);
            List<Fault> some = new ArrayList<>(kept.faults());
            some.set(i, new Fault(t.at(), t.kind(), t.seconds() / 2, t.times(), t.share(), t.zone(), t.tenant()));
            any |= t.seconds() >= 0.5 && breaks(with(kept.site(), some));
        }
        return any;
    }

    private boolean halves() {
        boolean any = false;
        for (String field : SIZES) {
            ObjectNode site = ExperimentFile.mapper().valueToTree(kept.site());
            int dot = field.indexOf('.');
            ObjectNode in = dot < 0 ? site : (ObjectNode) site.get(field.substring(0, dot));
            String name = field.substring(dot + 1);
            JsonNode now = in.get(name);
            if (now.isInt()) {
                in.put(
                        name,
                        Math.max(
                                field.equals("nodes") || field.equals("proxies")
                                        ? kept.site().zones().size()
                                        : 1,
                                now.asInt() / 2));
            } else {
                in.put(name, Math.max(LEAST_CAPACITY, now.asDouble() / 2));
            }
            any |= !in.get(name).equals(now) && breaks(with(read(site), kept.faults()));
        }
        return any;
    }

    private static SiteModel read(ObjectNode site) {
        try {
            return ExperimentFile.mapper().treeToValue(site, SiteModel.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private Experiment.Variant with(SiteModel site, List<Fault> faults) {
        return new Experiment.Variant(kept.name(), site, List.copyOf(faults), kept.build());
    }

    /**
     * An experiment file of the shrunk variant, with the whole site written out, so that later defaults change nothing.
     */
    public static String file(String name, Left left, long seed) throws JsonProcessingException {
        ObjectNode top = ExperimentFile.mapper().createObjectNode();
        Set<String> rules = new LinkedHashSet<>();
        left.broken().forEach(b -> rules.add(rule(b)));
        top.put("version", ExperimentFile.VERSION)
                .put("name", name)
                .put("question", "Why does this break " + String.join(", ", rules) + "?");
        top.putObject("seeds").put("first", seed).put("count", 1);
        top.set("site", ExperimentFile.mapper().valueToTree(left.variant().site()));
        ArrayNode faults = top.putArray("troubles");
        for (Fault t : left.variant().faults()) {
            ObjectNode one = ExperimentFile.mapper().valueToTree(t);
            one.put("kind", ExperimentFile.word(t.kind()));
            faults.add(one);
        }
        top.putArray("variants")
                .addObject()
                .put("name", left.variant().name())
                .put("build", left.variant().build());
        return ExperimentFile.yaml(top);
    }
}
