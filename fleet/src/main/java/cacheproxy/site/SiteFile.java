package cacheproxy.site;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.Fingerprint;
import cacheproxy.supervise.InstanceSpec;
import cacheproxy.supervise.SupervisionPolicy;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed and validated site file. A missing or malformed field causes an {@link InvalidInputException} that names the
 * path of the field. In the texts of a group, {@code {i}} expands to the number of the instance, {@code {12000+i}} to
 * the sum with that number, and {@code {name}} to the name of the instance.
 */
public final class SiteFile {
    private static final int MAX_INSTANCES = 2000;
    private static final Pattern INSTANCE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,39}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.:\\[\\]_-]+:(\\d{1,5})");
    private static final Pattern VARIABLE_NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");
    private static final Pattern NUMBER_TEMPLATE = Pattern.compile("\\{(?:(\\d{1,9})\\+)?i}");
    private static final Set<String> SITE_FIELDS = Set.of("version", "name", "policy", "instances");
    private static final Set<String> GROUP_FIELDS = Set.of(
            "name",
            "count",
            "first",
            "program",
            "arguments",
            "jvm",
            "listen",
            "discovery",
            "configuration",
            "environment",
            "policy",
            "greet");
    private static final Set<String> POLICY_FIELDS = Set.of(
            "readyWithinMs",
            "stopWithinMs",
            "hungAfterMs",
            "killAfterMs",
            "backoffMs",
            "backoffMostMs",
            "giveUpAfter",
            "stableMs",
            "probeMs",
            "forkMs");

    private final String name;
    private final List<DeclaredInstance> instances = new ArrayList<>();

    private SiteFile(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    public List<DeclaredInstance> instances() {
        return instances;
    }

    public List<InstanceSpec> specs() {
        return instances.stream().map(DeclaredInstance::spec).toList();
    }

    /** Throws an {@link InvalidInputException} that names the field if the text is not a valid site file. */
    public static SiteFile parse(String text) {
        Map<String, Object> json;
        try {
            json = JSON.std.mapFrom(text);
        } catch (IOException e) {
            throw new InvalidInputException("the site is not a JSON object: " + firstLine(e.getMessage()));
        }
        if (json == null) {
            throw new InvalidInputException("the site is not a JSON object: null");
        }
        rejectUnknownFields(json, SITE_FIELDS, "");
        if (!(json.get("version") instanceof Number version) || version.doubleValue() != 1) {
            throw new InvalidInputException("version: 1 is the only one known, not " + json.get("version"));
        }
        SiteFile site = new SiteFile(text(json, "name", "", null));
        SupervisionPolicy policy = policy(json.get("policy"), "policy", SupervisionPolicy.DEFAULT);
        if (!(json.get("instances") instanceof List<?> groups)) {
            throw new InvalidInputException("instances: a list is needed");
        }
        Set<String> names = new LinkedHashSet<>();
        for (int groupIndex = 0; groupIndex < groups.size(); groupIndex++) {
            String path = "instances[" + groupIndex + "]";
            Map<String, Object> group = object(groups.get(groupIndex), path);
            rejectUnknownFields(group, GROUP_FIELDS, path + ".");
            int count = (int) number(group, "count", path, 1, 1, MAX_INSTANCES);
            int first = (int) number(group, "first", path, 0, 0, 1_000_000);
            for (int i = first; i < first + count; i++) {
                DeclaredInstance instance = instance(group, path, i, policy);
                if (!names.add(instance.name())) {
                    throw new InvalidInputException(path + ".name: " + instance.name() + " is declared twice");
                }
                site.instances.add(instance);
            }
        }
        if (site.instances.size() > MAX_INSTANCES) {
            throw new InvalidInputException(
                    "instances: " + site.instances.size() + ", where " + MAX_INSTANCES + " are the most");
        }
        return site;
    }

    private static DeclaredInstance instance(
            Map<String, Object> group, String path, int i, SupervisionPolicy defaults) {
        String name = expandTemplates(text(group, "name", path + ".", null), i, "");
        if (!INSTANCE_NAME.matcher(name).matches()) {
            throw new InvalidInputException(path + ".name: letters, digits, '.', '_' and '-', 40 at most, not " + name);
        }
        String program = text(group, "program", path + ".", "serve");
        if (!Set.of("serve", "demo-node", "demo-discovery").contains(program)) {
            throw new InvalidInputException(path + ".program: serve, demo-node or demo-discovery, not " + program);
        }
        String listen = address(path + ".listen", expandTemplates(text(group, "listen", path + ".", null), i, name));
        String discovery = address(
                path + ".discovery", expandTemplates(text(group, "discovery", path + ".", "127.0.0.1:1"), i, name));
        List<String> jvm = expandTemplates(textList(group, "jvm", path), i, name);
        List<String> arguments = expandTemplates(textList(group, "arguments", path), i, name);
        Map<String, String> environment = environment(group, path, i, name);
        String configuration = null;
        if (group.containsKey("configuration")) {
            Map<String, Object> tree = object(group.get("configuration"), path + ".configuration");
            configuration = configuration(tree, name, listen, discovery, i);
        } else if (program.equals("serve")) {
            throw new InvalidInputException(path + ".configuration is missing: serve needs one");
        }
        SupervisionPolicy policy = policy(group.get("policy"), path + ".policy", defaults);
        Object greetValue = group.getOrDefault("greet", program.equals("serve"));
        if (!(greetValue instanceof Boolean greet)) {
            throw new InvalidInputException(path + ".greet: true or false, not " + greetValue);
        }
        String launch = digest(program, arguments, jvm, listen, program.equals("serve") ? "" : discovery, environment);
        InstanceSpec spec =
                new InstanceSpec(name, launch, configuration == null ? "" : Fingerprint.of(configuration), policy);
        return new DeclaredInstance(
                spec, program, arguments, jvm, listen, discovery, configuration, environment, greet);
    }

    private static String address(String path, String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (matcher.matches() && Integer.parseInt(matcher.group(1)) < 65536) {
            return text;
        }
        throw new InvalidInputException(path + ": an address and port are needed, not " + text);
    }

    private static Map<String, String> environment(Map<String, Object> group, String path, int i, String name) {
        Map<String, String> environment = new TreeMap<>(); // sorted: their order must not change the digest
        Map<String, Object> declared = object(group.getOrDefault("environment", Map.of()), path + ".environment");
        for (Map.Entry<String, Object> variable : declared.entrySet()) {
            String field = path + ".environment." + variable.getKey();
            if (!VARIABLE_NAME.matcher(variable.getKey()).matches()) {
                throw new InvalidInputException(field + ": letters, digits and '_' make a variable's name");
            }
            Object value = variable.getValue();
            if (!(value instanceof String || value instanceof Number || value instanceof Boolean)
                    || value.toString().indexOf('\0') >= 0) {
                throw new InvalidInputException(field + ": a text is needed, not " + value);
            }
            environment.put(variable.getKey(), expandTemplates(value.toString(), i, name));
        }
        return environment;
    }

    /** The digest of all parts; the JSON encoding keeps the boundaries between them distinct. */
    private static String digest(Object... parts) {
        try {
            return Fingerprint.of(JSON.std.asString(parts));
        } catch (IOException e) {
            throw new InvalidInputException("instances: " + firstLine(e.getMessage()));
        }
    }

    private static String configuration(Map<String, Object> tree, String name, String listen, String discovery, int i) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name", name);
        fields.put("listen", listen);
        fields.put("discovery", discovery);
        fields.put("seed", Fingerprint.of(name)); // the same at every start, so that the digest does not change
        fields.putAll(tree);
        try {
            return expandTemplates(JSON.std.asString(fields), i, name);
        } catch (IOException e) {
            throw new InvalidInputException("configuration: " + firstLine(e.getMessage()));
        }
    }

    private static String expandTemplates(String text, int i, String name) {
        Matcher matcher = NUMBER_TEMPLATE.matcher(text.replace("{name}", name));
        return matcher.replaceAll(
                match -> Long.toString((match.group(1) == null ? 0 : Long.parseLong(match.group(1))) + i));
    }

    private static List<String> expandTemplates(List<String> texts, int i, String name) {
        return texts.stream().map(text -> expandTemplates(text, i, name)).toList();
    }

    private static SupervisionPolicy policy(Object value, String path, SupervisionPolicy defaults) {
        if (value == null) {
            return defaults;
        }
        Map<String, Object> fields = object(value, path);
        rejectUnknownFields(fields, POLICY_FIELDS, path + ".");
        return new SupervisionPolicy(
                ms(fields, "readyWithinMs", path, defaults.readyWithinMs(), 100),
                ms(fields, "stopWithinMs", path, defaults.stopWithinMs(), 100),
                ms(fields, "hungAfterMs", path, defaults.hungAfterMs(), 100),
                ms(fields, "killAfterMs", path, defaults.killAfterMs(), -1),
                ms(fields, "backoffMs", path, defaults.backoffMs(), 10),
                ms(fields, "backoffMostMs", path, defaults.backoffMostMs(), 10),
                (int) ms(fields, "giveUpAfter", path, defaults.giveUpAfter(), 1),
                ms(fields, "stableMs", path, defaults.stableMs(), 0),
                ms(fields, "probeMs", path, defaults.probeMs(), 50),
                ms(fields, "forkMs", path, defaults.forkMs(), 100));
    }

    private static long ms(Map<String, Object> fields, String field, String path, long defaultValue, long min) {
        return number(fields, field, path, defaultValue, min, 86_400_000);
    }

    private static long number(
            Map<String, Object> fields, String field, String path, long defaultValue, long min, long max) {
        Object value = fields.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number
                && number.doubleValue() == number.longValue()
                && number.longValue() >= min
                && number.longValue() <= max) {
            return number.longValue();
        }
        throw new InvalidInputException(
                path + "." + field + ": a whole number from " + min + " to " + max + ", not " + value);
    }

    private static String text(Map<String, Object> fields, String field, String path, String defaultValue) {
        Object value = fields.getOrDefault(field, defaultValue);
        if (value instanceof String text && !text.isBlank()) {
            return text;
        }
        throw new InvalidInputException(
                path + field + (value == null ? " is missing" : ": a text is needed, not " + value));
    }

    private static List<String> textList(Map<String, Object> fields, String field, String path) {
        Object value = fields.getOrDefault(field, List.of());
        if (value instanceof List<?> list && list.stream().allMatch(element -> element instanceof String)) {
            return list.stream().map(String::valueOf).toList();
        }
        throw new InvalidInputException(path + "." + field + ": a list of texts is needed");
    }

    @SuppressWarnings("unchecked") // the JSON parser's objects have strings for keys
    private static Map<String, Object> object(Object value, String path) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidInputException(path + ": an object is needed");
    }

    private static void rejectUnknownFields(Map<String, Object> object, Set<String> knownFields, String path) {
        for (String field : object.keySet()) {
            if (!knownFields.contains(field)) {
                throw new InvalidInputException(path + field + " is not known" + suggestion(field, knownFields));
            }
        }
    }

    private static String suggestion(String field, Set<String> knownFields) {
        String best = null;
        int bestDistance = 3;
        for (String candidate : new TreeSet<>(knownFields)) { // sorted, so that a tie always gives the same name
            int candidateDistance = distance(field, candidate);
            if (candidateDistance < bestDistance) {
                bestDistance = candidateDistance;
                best = candidate;
            }
        }
        return best == null ? "" : "; meant is perhaps " + best;
    }

    /** The Levenshtein distance. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int above = row[j];
                int substitutionCost = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                row[j] = Math.min(Math.min(row[j], row[j - 1]) + 1, diagonal + substitutionCost);
                diagonal = above;
            }
        }
        return row[b.length()];
    }

    private static String firstLine(String text) {
        return text == null ? "" : text.lines().findFirst().orElse("");
    }
}
