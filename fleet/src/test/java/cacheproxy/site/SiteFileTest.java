package cacheproxy.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import cacheproxy.supervise.InstanceSpec;
import cacheproxy.supervise.SupervisionPolicy;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the parsing of site files. Guards against a typing error that is accepted with another meaning, and against a
 * digest that changes without a change of the file, which would restart or reload untouched instances.
 */
class SiteFileTest {
    private static final String LISTEN = "'listen':'127.0.0.1:{12000+i}'";
    private static final String GROUP = "'name':'n{i}'," + LISTEN + ",'configuration':{'a':1}";

    private static SiteFile parse(String text) {
        return SiteFile.parse(text.replace('\'', '"'));
    }

    private static String site(String... groups) {
        return "{'version':1,'name':'s','instances':[{" + String.join("},{", groups) + "}]}";
    }

    private static DeclaredInstance parseInstance(String group) {
        return parse(site(group)).instances().get(0);
    }

    private static void assertRejected(String text, String message) {
        assertEquals(
                message,
                assertThrows(InvalidInputException.class, () -> parse(text), text)
                        .getMessage());
    }

    // ---- templates ----

    @Test
    void expandsTemplatesInAllTexts() {
        SiteFile site = parse(site("'name':'p{i}','count':2,'first':7," + LISTEN
                + ",'discovery':'127.0.0.1:{100+i}','jvm':['-Dx={name}','-Dy={i}{1+i}'],"
                + "'arguments':['{name}/{name}'],'environment':{'A':'{i}','B':3,'C':true},"
                + "'configuration':{'w':{'x':'{name}-{10+i}','y':['{i}']}}"));
        assertEquals("s", site.name());
        assertEquals(
                List.of("p7", "p8"), site.specs().stream().map(s -> s.name()).toList());
        DeclaredInstance p8 = site.instances().get(1);
        assertEquals("p8", p8.name());
        assertEquals("127.0.0.1:12008", p8.listen());
        assertEquals("127.0.0.1:108", p8.discovery());
        assertEquals(List.of("-Dx=p8", "-Dy=89"), p8.jvm());
        assertEquals(List.of("p8/p8"), p8.arguments());
        assertEquals(Map.of("A", "8", "B", "3", "C", "true"), p8.environment());
        assertTrue(p8.configuration().contains("\"w\":{\"x\":\"p8-18\",\"y\":[\"8\"]}"), p8.configuration());
        assertTrue(p8.configuration().contains("\"name\":\"p8\",\"listen\":\"127.0.0.1:12008\""), p8.configuration());
    }

    @Test
    void leavesTextThatIsNotATemplateUnchanged() {
        for (String text : List.of("{j}", "{ i}", "{i+1}", "{}", "$1", "\\\\u0041", "{1234567890+i}")) {
            assertEquals(
                    text.replace("\\\\", "\\"),
                    parseInstance(GROUP + ",'arguments':['" + text + "']")
                            .arguments()
                            .get(0));
        }
        DeclaredInstance most = parseInstance(GROUP + ",'first':10,'arguments':['{999999999+i}']");
        assertEquals("1000000009", most.arguments().get(0));
    }

    @Test
    void groupWithDefaultsDeclaresOneProxy() {
        DeclaredInstance n = parseInstance(GROUP);
        assertEquals("n0", n.name());
        assertEquals("serve", n.program());
        assertEquals("127.0.0.1:1", n.discovery());
        assertEquals(List.of(), n.jvm());
        assertEquals(List.of(), n.arguments());
        assertEquals(Map.of(), n.environment());
        assertTrue(n.greet());
        assertEquals(SupervisionPolicy.DEFAULT, n.spec().policy());
        String demo = "'name':'d','program':'demo-node','listen':'127.0.0.1:1'";
        DeclaredInstance node = parseInstance(demo);
        assertNull(node.configuration());
        assertEquals("", node.spec().configuration());
        assertFalse(node.greet());
        assertTrue(parseInstance(demo + ",'greet':true").greet());
        assertEquals(List.of(), parse("{'version':1,'name':'s','instances':[]}").instances());
    }

    // ---- rejected files ----

    @Test
    void rejectsTextThatIsNotAJsonObject() {
        for (String text : List.of("", "x", "[]", "7", "null", "{'version':1,", "{'version':1,'version':1}")) {
            String message = assertThrows(InvalidInputException.class, () -> parse(text), text)
                    .getMessage();
            assertTrue(
                    message.startsWith("the site is not a JSON object: ")
                            && message.lines().count() == 1,
                    message);
        }
    }

    @Test
    void rejectsInvalidFieldsOfSite() {
        assertRejected("{}", "version: 1 is the only one known, not null");
        assertRejected("{'version':2}", "version: 1 is the only one known, not 2");
        assertRejected("{'version':1.5}", "version: 1 is the only one known, not 1.5");
        assertRejected("{'version':'1'}", "version: 1 is the only one known, not 1");
        assertRejected("{'version':1}", "name is missing");
        assertRejected("{'version':1,'name':7}", "name: a text is needed, not 7");
        assertRejected("{'version':1,'name':' '}", "name: a text is needed, not  ");
        assertRejected("{'version':1,'name':null}", "name is missing");
        assertRejected("{'version':1,'name':'s'}", "instances: a list is needed");
        assertRejected("{'version':1,'name':'s','instances':{}}", "instances: a list is needed");
        assertRejected("{'version':1,'name':'s','instances':[7]}", "instances[0]: an object is needed");
        assertRejected("{'version':1,'name':'s','policy':7,'instances':[]}", "policy: an object is needed");
        assertRejected("{'version':1,'names':'s'}", "names is not known; meant is perhaps name");
    }

    @Test
    void rejectsInvalidFieldsOfGroup() {
        String at = "instances[1].";
        Map<String, String> messagesByGroup = new LinkedHashMap<>();
        messagesByGroup.put(LISTEN + ",'configuration':{}", "name is missing");
        messagesByGroup.put("'name':7", "name: a text is needed, not 7");
        messagesByGroup.put("'name':'a/b'", "name: letters, digits, '.', '_' and '-', 40 at most, not a/b");
        messagesByGroup.put("'name':'..'", "name: letters, digits, '.', '_' and '-', 40 at most, not ..");
        messagesByGroup.put("'name':'{name}'", "name: letters, digits, '.', '_' and '-', 40 at most, not ");
        messagesByGroup.put("'name':'m','configuration':{}", "listen is missing");
        messagesByGroup.put("'name':'m','listen':7", "listen: a text is needed, not 7");
        for (String bad : List.of(
                "here",
                "127.0.0.1",
                ":1",
                "127.0.0.1:65536",
                "127.0.0.1:-1",
                "127.0.0.1:x",
                "127.0.0.1:{1234567890+i}",
                "127.0.0.1:1 ")) {
            messagesByGroup.put(
                    "'name':'m','listen':'" + bad + "'", "listen: an address and port are needed, not " + bad);
        }
        messagesByGroup.put(
                "'name':'m','listen':'[::1]:65535','discovery':'x'",
                "discovery: an address and port are needed, not x");
        messagesByGroup.put("'name':'m'," + LISTEN, "configuration is missing: serve needs one");
        messagesByGroup.put("'name':'m'," + LISTEN + ",'configuration':[]", "configuration: an object is needed");
        messagesByGroup.put("'name':'m'," + LISTEN + ",'configuration':null", "configuration: an object is needed");
        messagesByGroup.put("'name':'m','program':'sh'", "program: serve, demo-node or demo-discovery, not sh");
        messagesByGroup.put("'name':'m'," + LISTEN + ",'discovery':{}", "discovery: a text is needed, not {}");
        messagesByGroup.put("'name':'m'," + LISTEN + ",'jvm':'-Xmx1m'", "jvm: a list of texts is needed");
        messagesByGroup.put("'name':'m'," + LISTEN + ",'arguments':[1]", "arguments: a list of texts is needed");
        String complete = "'name':'m'," + LISTEN + ",'configuration':{},";
        messagesByGroup.put(complete + "'environment':[]", "environment: an object is needed");
        messagesByGroup.put(complete + "'environment':{'A':null}", "environment.A: a text is needed, not null");
        messagesByGroup.put(complete + "'environment':{'A':['x']}", "environment.A: a text is needed, not [x]");
        messagesByGroup.put(complete + "'environment':{'A':'\\u0000'}", "environment.A: a text is needed, not \0");
        messagesByGroup.put(
                complete + "'environment':{'A=B':'x'}",
                "environment.A=B: letters, digits and '_' make a variable's name");
        messagesByGroup.put(complete + "'greet':'no'", "greet: true or false, not no");
        messagesByGroup.put(complete + "'greet':null", "greet: true or false, not null");
        messagesByGroup.put(complete + "'policy':[]", "policy: an object is needed");
        messagesByGroup.put(
                complete + "'policy':{'probeMs':'x'}", "policy.probeMs: a whole number from 50 to 86400000, not x");
        messagesByGroup.put(
                complete + "'policy':{'giveUpAftr':1}", "policy.giveUpAftr is not known; meant is perhaps giveUpAfter");
        messagesByGroup.put("'count':0", "count: a whole number from 1 to 2000, not 0");
        messagesByGroup.put("'count':2001", "count: a whole number from 1 to 2000, not 2001");
        messagesByGroup.put("'count':1.5", "count: a whole number from 1 to 2000, not 1.5");
        messagesByGroup.put("'count':'2'", "count: a whole number from 1 to 2000, not 2");
        messagesByGroup.put("'first':-1", "first: a whole number from 0 to 1000000, not -1");
        messagesByGroup.put("'first':1000001", "first: a whole number from 0 to 1000000, not 1000001");
        messagesByGroup.put("'lisen':'x'", "lisen is not known; meant is perhaps listen");
        messagesByGroup.put("'Count':2", "Count is not known; meant is perhaps count");
        messagesByGroup.put("'wholly':2", "wholly is not known");
        messagesByGroup.forEach((group, message) -> assertRejected(site(GROUP, group), at + message));
    }

    @Test
    void resolvesTiesBetweenSuggestionsDeterministically() {
        assertRejected(
                "{'version':1,'name':'s','policy':{'backoffMoMs':1},'instances':[]}", // as close to backoffMs
                "policy.backoffMoMs is not known; meant is perhaps backoffMostMs");
    }

    @Test
    void rejectsDuplicateInstanceNames() {
        assertRejected(
                site("'name':'m','count':2," + LISTEN + ",'configuration':{}"),
                "instances[0].name: m is declared twice");
        assertRejected(
                site(GROUP + ",'count':3", "'name':'n2'," + LISTEN + ",'configuration':{}"),
                "instances[1].name: n2 is declared twice");
    }

    @Test
    void acceptsLimitsAndRejectsValuesBeyond() {
        assertEquals(2000, parse(site(GROUP + ",'count':2000")).instances().size());
        String last = "'name':'n{i}','first':1000000,'listen':'127.0.0.1:1','configuration':{}";
        assertEquals("n1000000", parseInstance(last).name());
        assertRejected(
                site(GROUP + ",'count':2000", "'name':'m'," + LISTEN + ",'configuration':{}"),
                "instances: 2001, where 2000 are the most");
        String longest = "x".repeat(40);
        String rest = "'," + LISTEN + ",'configuration':{}";
        assertEquals(longest, parseInstance("'name':'" + longest + rest).name());
        assertThrows(InvalidInputException.class, () -> parseInstance("'name':'" + longest + "x" + rest));
    }

    // ---- policies ----

    @Test
    void policyFallsBackFromGroupToSiteToDefault() {
        SiteFile site = parse("{'version':1,'name':'s','policy':{'probeMs':50,'killAfterMs':0,'stableMs':0},"
                + "'instances':[{" + GROUP + ",'policy':{'probeMs':60,'giveUpAfter':1}},"
                + "{'name':'m'," + LISTEN + ",'configuration':{}}]}");
        SupervisionPolicy defaults = SupervisionPolicy.DEFAULT;
        assertEquals(
                new SupervisionPolicy(
                        defaults.readyWithinMs(),
                        defaults.stopWithinMs(),
                        defaults.hungAfterMs(),
                        0,
                        defaults.backoffMs(),
                        defaults.backoffMostMs(),
                        1,
                        0,
                        60,
                        defaults.forkMs()),
                site.specs().get(0).policy());
        assertEquals(
                new SupervisionPolicy(
                        defaults.readyWithinMs(),
                        defaults.stopWithinMs(),
                        defaults.hungAfterMs(),
                        0,
                        defaults.backoffMs(),
                        defaults.backoffMostMs(),
                        defaults.giveUpAfter(),
                        0,
                        50,
                        defaults.forkMs()),
                site.specs().get(1).policy());
    }

    @Test
    void checksBoundsOfEachPolicyField() {
        Map<String, Integer> least = new LinkedHashMap<>();
        least.put("readyWithinMs", 100);
        least.put("stopWithinMs", 100);
        least.put("hungAfterMs", 100);
        least.put("killAfterMs", -1);
        least.put("backoffMs", 10);
        least.put("backoffMostMs", 10);
        least.put("giveUpAfter", 1);
        least.put("stableMs", 0);
        least.put("probeMs", 50);
        least.put("forkMs", 100);
        StringBuilder all = new StringBuilder();
        least.forEach((field, n) -> {
            String range = "policy." + field + ": a whole number from " + n + " to 86400000, not ";
            for (String bad : List.of(Integer.toString(n - 1), "86400001", "1000.5", "true", "1e30")) {
                String policy = "'policy':{'" + field + "':" + bad + "}";
                String text = "{'version':1,'name':'s','instances':[]," + policy + "}";
                String message = assertThrows(InvalidInputException.class, () -> parse(text), text)
                        .getMessage();
                assertTrue(message.startsWith(range), message);
            }
            all.append(all.length() == 0 ? "" : ",")
                    .append("'")
                    .append(field)
                    .append("':")
                    .append(n);
        });
        assertEquals(
                new SupervisionPolicy(100, 100, 100, -1, 10, 10, 1, 0, 50, 100),
                parseInstance(GROUP + ",'policy':{" + all + "}").spec().policy());
        assertEquals(
                86_400_000,
                parseInstance(GROUP + ",'policy':{'stableMs':86400000}")
                        .spec()
                        .policy()
                        .stableMs());
    }

    // ---- digests ----

    private static void assertDigests(String a, String b, boolean sameLaunch, boolean sameConfiguration) {
        InstanceSpec x = parseInstance(a).spec();
        InstanceSpec y = parseInstance(b).spec();
        assertEquals(sameLaunch, x.launch().equals(y.launch()), a + " | " + b);
        assertEquals(sameConfiguration, x.configuration().equals(y.configuration()), a + " | " + b);
    }

    @Test
    void digestsAreStableAcrossParses() {
        String all = "'name':'n{i}','count':2," + LISTEN + ",'jvm':['-Xmx1m'],'arguments':['a'],"
                + "'environment':{'A':'1','B':'2','C':'3'},'configuration':{'b':{'z':1,'a':2},'a':[3]}";
        assertEquals(parse(site(all)).instances(), parse(site(all)).instances());
        assertEquals(
                parse(site(all)).instances(),
                parse(" \n" + site(all).replace(":", " : ").replace("127.0.0.1 : ", "127.0.0.1:"))
                        .instances());
        List<DeclaredInstance> two = parse(site(all)).instances();
        assertNotEquals(two.get(0).spec().launch(), two.get(1).spec().launch());
        assertNotEquals(two.get(0).spec().configuration(), two.get(1).spec().configuration());
        // the name of the site and other declared instances do not affect the digests
        String beside = "'name':'m','listen':'127.0.0.1:1','configuration':{}";
        assertEquals(
                two, parse(site(all, beside).replace("'s'", "'t'")).instances().subList(0, 2));
    }

    @Test
    void launchDigestChangesWithSettingsThatNeedARestart() {
        assertDigests(GROUP, GROUP + ",'jvm':['-Xmx1m']", false, true);
        assertDigests(GROUP, GROUP + ",'arguments':['x']", false, true);
        assertDigests(GROUP, GROUP + ",'environment':{'A':'1'}", false, true);
        assertDigests(GROUP + ",'environment':{'A':'1'}", GROUP + ",'environment':{'A':'2'}", false, true);
        assertDigests(
                GROUP, GROUP.replace("12000", "12001"), false, false); // the configuration contains the address too
        // the same characters, split differently
        assertDigests(GROUP + ",'jvm':['a, b']", GROUP + ",'jvm':['a','b']", false, true);
        assertDigests(GROUP + ",'jvm':['a']", GROUP + ",'arguments':['a']", false, true);
        assertDigests(GROUP + ",'environment':{'A':'1, B=2'}", GROUP + ",'environment':{'A':'1','B':'2'}", false, true);
        String node = "'name':'m','listen':'127.0.0.1:1','program':'demo-node'";
        assertDigests(node, node.replace("node", "discovery"), false, true);
        assertDigests(node, node + ",'discovery':'127.0.0.1:2'", false, true);
    }

    @Test
    void configurationDigestChangesWithSettingsThatNeedAReload() {
        assertDigests(GROUP, GROUP.replace("'a':1", "'a':2"), true, false);
        assertDigests(GROUP, GROUP.replace("'a':1", "'a':1,'b':1"), true, false);
        assertDigests(GROUP, GROUP + ",'discovery':'127.0.0.1:2'", true, false);
    }

    @Test
    void digestsIgnoreSettingsThatOnlyTheAgentUses() {
        assertDigests(GROUP, GROUP + ",'policy':{'probeMs':77}", true, true);
        assertDigests(GROUP, GROUP + ",'greet':false", true, true);
        assertDigests(GROUP, GROUP + ",'count':3", true, true);
        assertDigests(GROUP, GROUP + ",'program':'serve','discovery':'127.0.0.1:1','jvm':[]", true, true);
        assertDigests(
                GROUP + ",'environment':{'A':'1','B':'2'}", GROUP + ",'environment':{'B':'2','A':'1'}", true, true);
        assertDigests(GROUP + ",'environment':{'A':'1'}", GROUP + ",'environment':{'A':1}", true, true);
    }
}
