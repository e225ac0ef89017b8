package cacheproxy.lab.experiment;

import cacheproxy.lab.scenario.Fault;
import cacheproxy.lab.scenario.SiteModel;
import cacheproxy.lab.scenario.SiteValidator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Reads experiments from YAML. What a site leaves out is taken from {@code site-defaults.yaml} beside this class; a
 * variant's {@code set} then changes single fields by their paths. Every variant is typed and checked as a whole.
 */
public final class ExperimentFile {
    /** The version of the file format that this build reads. */
    public static final int VERSION = 1;

    private static final long MOST_BYTES = 1 << 20;
    private static final int MOST_SEEDS = 10_000;
    private static final int MOST_VARIANTS = 100;
    private static final Set<String> TOP =
            Set.of("version", "name", "question", "seeds", "site", "troubles", "variants");
    private static final YAMLMapper YAML = YAMLMapper.builder(
                    YAMLFactory.builder().build())
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final JsonMapper TYPED = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .withCoercionConfig(LogicalType.Integer, c -> c.setCoercion(CoercionInputShape.String, CoercionAction.Fail))
            .withCoercionConfig(LogicalType.Float, c -> c.setCoercion(CoercionInputShape.String, CoercionAction.Fail))
            .withCoercionConfig(LogicalType.Boolean, c -> c.setCoercion(CoercionInputShape.String, CoercionAction.Fail))
            .build();

    private ExperimentFile() {}

    /**
     * Reads and validates a file.
     *
     * @throws InvalidExperimentException with all errors, each with the path of its field
     */
    public static Experiment read(Path file) throws InvalidExperimentException {
        String text;
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new InvalidExperimentException(file + ": longer than " + MOST_BYTES + " bytes");
            }
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidExperimentException(
                    file + ": cannot be read: " + e.getClass().getSimpleName());
        }
        try {
            return of(text);
        } catch (InvalidExperimentException e) {
            throw new InvalidExperimentException(
                    e.getMessage().lines().map(l -> file + ": " + l).toList());
        }
    }

    /** Reads and validates the text of a file. */
    public static Experiment of(String yaml) throws InvalidExperimentException {
        JsonNode top = tree(yaml);
        if (!(top instanceof ObjectNode o)) {
            throw new InvalidExperimentException("the file is not a mapping of fields");
        }
        List<String> unknown = new ArrayList<>();
        o.fieldNames().forEachRemaining(f -> {
            if (!TOP.contains(f)) {
                unknown.add(f + ": no such field" + nearest(f, TOP));
            }
        });
        if (!unknown.isEmpty()) {
            throw new InvalidExperimentException(unknown);
        }
        if (!o.path("version").isInt() || o.path("version").asInt() != VERSION) {
            throw new InvalidExperimentException("version: this build plays version " + VERSION + ", not "
                    + (o.has("version") ? o.path("version").asText() : "none"));
        }
        String name = text(o, "name");
        if (!name.matches("[a-z0-9][a-z0-9-]{0,63}")) {
            throw new InvalidExperimentException(
                    "name: small letters, digits and hyphens, up to 64, not '" + name + "'");
        }
        ObjectNode whole = TYPED.createObjectNode();
        whole.set("site", merged(defaults(), o.path("site"), "site"));
        whole.set("troubles", faults(o.path("troubles")));
        List<Experiment.Variant> variants = variants(o.path("variants"), whole);
        JsonNode seeds = o.path("seeds");
        return new Experiment(
                name,
                o.path("question").asText(""),
                whole(seeds, "first", 1, Long.MAX_VALUE / 2),
                (int) whole(seeds, "count", 5, MOST_SEEDS),
                variants);
    }

    private static JsonNode tree(String yaml) throws InvalidExperimentException {
        try {
            return YAML.readTree(yaml);
        } catch (JsonProcessingException e) {
            throw new InvalidExperimentException(
                    "line " + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse("cannot be read"));
        }
    }

    private static ObjectNode defaults() {
        try (InputStream in = ExperimentFile.class.getResourceAsStream("site-defaults.yaml")) {
            return (ObjectNode) YAML.readTree(in);
        } catch (IOException e) {
            throw new IllegalStateException("site-defaults.yaml of this build", e);
        }
    }

    private static String text(ObjectNode o, String field) throws InvalidExperimentException {
        if (!o.path(field).isTextual()) {
            throw new InvalidExperimentException(field + ": a text is missing");
        }
        return o.path(field).asText();
    }

    private static long whole(JsonNode seeds, String field, long usual, long most) throws InvalidExperimentException {
        for (Iterator<String> it = seeds.fieldNames(); it.hasNext(); ) {
            String f = it.next();
            if (!f.equals("first") && !f.equals("count")) {
                throw new InvalidExperimentException("seeds." + f + ": no such field; there are first and count");
            }
        }
        JsonNode n = seeds.path(field);
        if (n.isMissingNode()) {
            return usual;
        }
        if (!n.isIntegralNumber() || n.asLong() < 1 || n.asLong() > most) {
            throw new InvalidExperimentException(
                    "seeds." + field + ": a whole number from 1 to " + most + ", not " + n.asText());
        }
        return n.asLong();
    }

    /** Merges the fields of the second node into the first; lists are replaced as a whole. */
    private static ObjectNode merged(ObjectNode under, JsonNode over, String at) throws InvalidExperimentException {
        if (over.isMissingNode() || over.isNull()) {
            return under;
        }
        if (!over.isObject()) {
            throw new InvalidExperimentException(at + ": a mapping of fields is wanted");
        }
        for (Iterator<Map.Entry<String, JsonNode>> it = over.fields(); it.hasNext(); ) {
            Map.Entry<String, JsonNode> f = it.next();
            JsonNode old = under.get(f.getKey());
            if (old == null) {
                throw new InvalidExperimentException(
                        at + "." + f.getKey() + ": no such field" + nearest(f.getKey(), names(under)));
            }
            under.set(
                    f.getKey(),
                    old.isObject() ? merged((ObjectNode) old, f.getValue(), at + "." + f.getKey()) : f.getValue());
        }
        return under;
    }

    private static Collection<String> names(JsonNode of) {
        List<String> all = new ArrayList<>();
        of.fieldNames().forEachRemaining(all::add);
        return all;
    }

    private static ArrayNode faults(JsonNode from) throws InvalidExperimentException {
        ArrayNode all = TYPED.createArrayNode();
        if (!from.isMissingNode() && !from.isArray()) {
            throw new InvalidExperimentException("troubles: a list is wanted");
        }
        for (int i = 0; i < from.size(); i++) {
            ObjectNode usual = TYPED.createObjectNode()
                    .put("at", 0)
                    .put("kind", "")
                    .put("seconds", 0)
                    .put("times", 1)
                    .put("share", 1)
                    .put("zone", "")
                    .put("tenant", "");
            ObjectNode t = merged(usual, from.get(i), "troubles[" + i + "]");
            t.put("kind", t.path("kind").asText().replace('-', '_'));
            all.add(t);
        }
        return all;
    }

    private static List<Experiment.Variant> variants(JsonNode from, ObjectNode whole)
            throws InvalidExperimentException {
        List<Experiment.Variant> all = new ArrayList<>();
        List<String> mistakes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        if (from.isMissingNode()) {
            all.add(variant("base", whole, "", "", mistakes));
        } else if (!from.isArray() || from.isEmpty() || from.size() > MOST_VARIANTS) {
            throw new InvalidExperimentException("variants: a list of 1 to " + MOST_VARIANTS + " is wanted");
        }
        for (int i = 0; i < from.size(); i++) {
            String at = "variants[" + i + "]";
            JsonNode v = from.get(i);
            for (String f : names(v)) {
                if (!f.equals("name") && !f.equals("set") && !f.equals("build")) {
                    throw new InvalidExperimentException(
                            at + "." + f + ": no such field; there are name, set and build");
                }
            }
            String name = v.path("name").asText("");
            if (!name.matches("[a-z0-9][a-z0-9-]{0,63}")) {
                throw new InvalidExperimentException(
                        at + ".name: small letters, digits and hyphens, not '" + name + "'");
            }
            if (!names.add(name)) {
                throw new InvalidExperimentException(at + ".name: " + name + " is there twice");
            }
            String build = v.path("build").asText("");
            if (!build.matches("|[A-Za-z0-9][A-Za-z0-9._/-]{0,99}")) {
                throw new InvalidExperimentException(
                        at + ".build: a commit, branch or tag of this repository, not '" + build + "'");
            }
            ObjectNode own = whole.deepCopy();
            for (Iterator<Map.Entry<String, JsonNode>> it = v.path("set").fields(); it.hasNext(); ) {
                Map.Entry<String, JsonNode> f = it.next();
                set(own, f.getKey(), f.getValue(), at + ".set." + f.getKey());
            }
            all.add(variant(name, own, build, at + ": ", mistakes));
        }
        if (!mistakes.isEmpty()) {
            throw new InvalidExperimentException(mistakes);
        }
        return all;
    }

    /** Sets a field by its path, such as {@code site.node.slots} or {@code troubles[0].times}. */
    private static void set(ObjectNode whole, String path, JsonNode value, String at)
            throws InvalidExperimentException {
        String pointer = "/" + path.replace("[", ".").replace("]", "").replace('.', '/');
        int cut = pointer.lastIndexOf('/');
        JsonNode parent = whole.at(pointer.substring(0, cut));
        String last = pointer.substring(cut + 1);
        if (parent instanceof ObjectNode o && o.has(last)) {
            if (o.get(last).isObject()) {
                merged((ObjectNode) o.get(last), value, at);
            } else {
                o.set(
                        last,
                        last.equals("kind")
                                ? TYPED.getNodeFactory().textNode(value.asText().replace('-', '_'))
                                : value);
            }
        } else {
            throw new InvalidExperimentException(
                    at + ": there is no field " + path + (parent.isObject() ? nearest(last, names(parent)) : ""));
        }
    }

    private static Experiment.Variant variant(
            String name, ObjectNode whole, String build, String at, List<String> mistakes)
            throws InvalidExperimentException {
        SiteModel site = typed(whole.get("site"), SiteModel.class, at + "site");
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < whole.get("troubles").size(); i++) {
            faults.add(typed(whole.get("troubles").get(i), Fault.class, at + "troubles[" + i + "]"));
        }
        SiteValidator.of(site, faults).forEach(m -> {
            if (!mistakes.contains(m)) {
                mistakes.add(at.isEmpty() ? m : at + m);
            }
        });
        return new Experiment.Variant(name, site, List.copyOf(faults), build);
    }

    private static <T> T typed(JsonNode from, Class<T> as, String at) throws InvalidExperimentException {
        try {
            return TYPED.treeToValue(from, as);
        } catch (UnrecognizedPropertyException e) {
            throw new InvalidExperimentException(path(at, e) + ": no such field"
                    + nearest(
                            e.getPropertyName(),
                            e.getKnownPropertyIds().stream()
                                    .map(String::valueOf)
                                    .toList()));
        } catch (JsonMappingException e) {
            throw new InvalidExperimentException(path(at, e) + ": "
                    + e.getOriginalMessage()
                            .lines()
                            .findFirst()
                            .orElse("")
                            .replaceAll("`(?:[a-z]+\\.)+([A-Za-z$]+)`", "$1"));
        } catch (JsonProcessingException e) {
            throw new InvalidExperimentException(at + ": " + e.getOriginalMessage());
        }
    }

    private static String path(String at, JsonMappingException e) {
        return at
                + e.getPath().stream()
                        .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : "." + r.getFieldName())
                        .collect(Collectors.joining());
    }

    private static String nearest(String word, Collection<String> known) {
        String best = null;
        int least = 4;
        for (String k : known) {
            int d = LevenshteinDistance.getDefaultInstance().apply(word, k);
            if (d < least) {
                least = d;
                best = k;
            }
        }
        return best == null ? "" : "; is " + best + " meant?";
    }

    /** The name of a fault's kind in files. */
    static String word(Fault.Kind kind) {
        return kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    static String yaml(JsonNode tree) throws JsonProcessingException {
        return YAML.writeValueAsString(tree);
    }

    /** The JSON mapper of files, store and reports. */
    static ObjectMapper mapper() {
        return TYPED;
    }
}
