package cacheproxy.agent;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.ControlCodec;
import cacheproxy.control.ControlServer;
import cacheproxy.site.SiteFile;
import cacheproxy.supervise.Instance;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Answers requests on the agent's control channel; runs on the supervisor's thread, which owns all state. */
final class AgentApi implements ControlServer.RequestHandler {
    private static final int MAX_SHOWN_CHARS = 80;
    private static final int MAX_EVENTS = 500;
    private static final int MAX_LOG_BYTES = 256 << 10;
    private static final long FOLLOW_INTERVAL_MS = 200;

    private final Agent agent;

    AgentApi(Agent agent) {
        this.agent = agent;
    }

    @Override
    public int maxRequestBytes() {
        return ControlCodec.MAX_SITE_REQUEST_BYTES;
    }

    @Override
    public void handle(String op, Map<String, Object> request, ControlServer.Reply reply) {
        agent.onSupervisorThread(() -> {
            try {
                answer(op, request, reply);
            } catch (InvalidInputException e) {
                reply.fail(e.getMessage());
            }
        });
    }

    private void answer(String op, Map<String, Object> request, ControlServer.Reply reply) {
        switch (op) {
            case "list" -> reply.end(list());
            case "status" -> status(request, reply);
            case "check" -> {
                SiteFile site = SiteFile.parse(text(request, "site"));
                reply.end(Map.of(
                        "site", site.name(), "instances", site.instances().size()));
            }
            case "apply" -> apply(request, reply);
            case "start" ->
                applyToEach(request, reply, name -> agent.supervisor().setDesiredState(agent.now(), name, true));
            case "stop" ->
                applyToEach(request, reply, name -> agent.supervisor().setDesiredState(agent.now(), name, false));
            case "restart" ->
                applyToEach(request, reply, name -> agent.supervisor().restart(agent.now(), name));
            case "reload" ->
                applyToEach(request, reply, name -> agent.supervisor().reload(agent.now(), name));
            case "roll" -> roll(request, reply);
            case "events" -> {
                boolean follow = Boolean.TRUE.equals(request.get("follow"));
                events(number(request, "from", 1), follow, reply);
            }
            case "log" -> log(request, reply);
            case "end" -> {
                reply.end(Map.of("pid", ProcessHandle.current().pid()));
                agent.scheduleOnce(
                        FOLLOW_INTERVAL_MS, TimeUnit.MILLISECONDS, () -> new Thread(() -> System.exit(0)).start());
            }
            default -> reply.fail("no such operation: " + op);
        }
    }

    private interface InstanceOperation {
        /** Returns why the operation was rejected; null if it was accepted. */
        String apply(String name);
    }

    private void applyToEach(Map<String, Object> request, ControlServer.Reply reply, InstanceOperation operation) {
        Map<String, Object> results = new LinkedHashMap<>();
        for (String name : names(request)) {
            String why = operation.apply(name);
            results.put(name, why == null ? "" : why);
        }
        reply.end(Map.of("results", results));
    }

    /** The instances named in the request, or all instances if the list is empty. */
    private List<String> names(Map<String, Object> request) {
        if (!(request.get("names") instanceof List<?> requestedNames)) {
            throw new InvalidInputException(
                    "names: a list is needed, empty for all, not " + shorten(request.get("names")));
        }
        List<String> names = new ArrayList<>();
        requestedNames.forEach(name -> names.add(String.valueOf(name)));
        if (names.isEmpty()) {
            agent.supervisor().instances().forEach(instance -> names.add(instance.name));
        }
        return names;
    }

    private void roll(Map<String, Object> request, ControlServer.Reply reply) {
        String why = agent.supervisor()
                .beginRollingRestart(agent.now(), names(request), (int) number(request, "mostDown", 1));
        if (why == null) {
            reply.end(Map.of("rolling", String.valueOf(agent.supervisor().rollingRestartProgress())));
        } else {
            reply.fail(why);
        }
    }

    private void apply(Map<String, Object> request, ControlServer.Reply reply) {
        String text = text(request, "site");
        SiteFile site = SiteFile.parse(text);
        SiteComparison comparison = SiteComparison.of(site, agent.supervisor());
        if (!Boolean.TRUE.equals(request.get("dry"))) {
            String why = agent.apply(site, text);
            if (why != null) {
                reply.fail(why);
                return;
            }
        }
        reply.end(comparison.toReply());
    }

    private Map<String, Object> list() {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("site", agent.siteName());
        list.put("agentPid", ProcessHandle.current().pid());
        list.put("agentUpMs", agent.now());
        list.put("journalLines", agent.journalLines());
        if (agent.journalFails()) {
            list.put("trouble", "the journal cannot be written");
        }
        List<Object> reports = new ArrayList<>();
        agent.supervisor().instances().forEach(instance -> reports.add(report(instance)));
        list.put("instances", reports);
        if (agent.supervisor().rollingRestartProgress() != null) {
            list.put("rolling", agent.supervisor().rollingRestartProgress());
        }
        return list;
    }

    private Map<String, Object> report(Instance instance) {
        return InstanceReport.of(instance, agent.declared(instance.name), agent.now());
    }

    private void status(Map<String, Object> request, ControlServer.Reply reply) {
        List<Object> reports = new ArrayList<>();
        for (String name : names(request)) {
            Instance instance = agent.supervisor().instance(name);
            if (instance == null) {
                reply.fail("no instance is named " + name);
                return;
            }
            Map<String, Object> report = report(instance);
            Map<String, Object> lastStatus = agent.lastStatus(name);
            if (lastStatus != null && instance.state().mayRun()) {
                report.put("told", lastStatus);
            }
            reports.add(report);
        }
        reply.end(Map.of("site", agent.siteName(), "instances", reports));
    }

    private void events(long from, boolean follow, ControlServer.Reply reply) {
        List<Object> selected = new ArrayList<>();
        // a number beyond the last event selects the next event
        long next = Math.min(Math.max(1, from), agent.events().nextNumber());
        for (EventLog.Event event : agent.events().from(next, MAX_EVENTS)) {
            selected.add(event.toMap());
            next = event.number() + 1;
        }
        Map<String, Object> page = Map.of("events", selected, "next", next);
        if (!follow && selected.size() < MAX_EVENTS) {
            reply.end(page);
            return;
        }
        if (!selected.isEmpty()) {
            reply.part(page);
        }
        long nextEvent = next;
        if (reply.isOpen()) {
            agent.scheduleOnce(FOLLOW_INTERVAL_MS, TimeUnit.MILLISECONDS, () -> events(nextEvent, follow, reply));
        }
    }

    /** Returns the end of an instance's log, or the part after a given offset. */
    private void log(Map<String, Object> request, ControlServer.Reply reply) {
        String name = text(request, "name");
        if (agent.supervisor().instance(name) == null) {
            reply.fail("no instance is named " + name);
            return;
        }
        Path file = agent.stateFolder().log(name);
        long from = number(request, "from", -1);
        int maxBytes = (int) Math.max(0, Math.min(MAX_LOG_BYTES, number(request, "bytes", 16 << 10)));
        try {
            long size = Files.exists(file) ? Files.size(file) : 0;
            // an offset beyond the end means that the file was rotated
            long offset = from < 0 ? Math.max(0, size - maxBytes) : from > size ? 0 : from;
            byte[] bytes = new byte[(int) Math.min(maxBytes, size - offset)];
            if (bytes.length > 0) {
                try (RandomAccessFile in = new RandomAccessFile(file.toFile(), "r")) {
                    in.seek(offset);
                    in.readFully(bytes);
                }
            }
            reply.end(Map.of("text", new String(bytes, StandardCharsets.UTF_8), "next", offset + bytes.length));
        } catch (IOException e) {
            reply.fail("its log cannot be read: " + e.getMessage());
        }
    }

    private static String text(Map<String, Object> request, String field) {
        if (request.get(field) instanceof String string) {
            return string;
        }
        throw new InvalidInputException(field + ": a text is needed, not " + shorten(request.get(field)));
    }

    private static long number(Map<String, Object> request, String field, long defaultValue) {
        Object value = request.get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            return number.longValue();
        }
        throw new InvalidInputException(field + ": a number is needed, not " + shorten(value));
    }

    /** Shortens a value for an error message, since values in a request can have any length. */
    private static String shorten(Object value) {
        String text = String.valueOf(value);
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
