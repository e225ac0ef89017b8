package cacheproxy.simulator;

import cacheproxy.common.InvalidInputException;
import cacheproxy.routing.AttemptOutcome;
import cacheproxy.routing.CacheResult;
import cacheproxy.routing.EndpointInfo;
import cacheproxy.routing.EndpointListKind;
import cacheproxy.routing.EndpointState;
import cacheproxy.routing.FairRouter;
import cacheproxy.routing.LoadReport;
import cacheproxy.routing.RequestRouter;
import cacheproxy.routing.RoutingRequest;
import cacheproxy.routing.RoutingSettings;
import cacheproxy.routing.SettingsText;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Hosts routers for the simulator: reads batches of events, passes each event to the router of its instance, and
 * replies to a batch with the actions that the routers requested.
 */
public final class SimHost {
    private static final int OUTCOME = 16;
    private static final int HEALTH_CHECK = 17;
    private static final int REQUEST = 18;
    private static final int STOP = 19;
    private static final int TIMER = 20;
    private static final int ENDPOINT_LIST = 21;
    private static final int GOSSIP = 22;
    private static final int CLIENT_GONE = 23;
    private static final int STREAM_STARTED = 24;
    private static final int START = 25;
    private static final int HEADER_BYTES = 20;
    private static final int ENTRY_BYTES = 22;
    private static final int RECORD_HEADER_BYTES = 5;
    private static final int MAX_BODY_BYTES = 1 << 30;

    private static final CacheResult[] CACHE_RESULTS = CacheResult.values();
    private static final EndpointState[] STATES = {EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING};
    private static final EndpointListKind[] LIST_KINDS = EndpointListKind.values();

    private final InputStream in;
    private final OutputStream out;
    private final FrameReader reader = new FrameReader();
    private final FrameWriter reply = new FrameWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final RoutingRequest request = new RoutingRequest();
    private final LoadReport report = new LoadReport();
    private EndpointInfo[] endpoints = new EndpointInfo[0];
    private byte[] frame = new byte[1 << 16];

    /** A router with the settings that decoding its events needs; the router is null after the instance stopped. */
    private static final class Instance {
        RequestRouter router;
        String[] reportFields;
    }

    public SimHost(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /** Processes batches until the input ends between two batches. */
    public void run() throws IOException {
        byte[] header = new byte[HEADER_BYTES];
        for (long batchIndex = 0; ; batchIndex++) {
            int bytesRead = in.readNBytes(header, 0, HEADER_BYTES);
            if (bytesRead == 0) {
                return;
            }
            String name = "batch " + batchIndex;
            reader.setRange(header, 0, bytesRead, name + " header");
            int batchNumber = reader.i32();
            int length = reader.u31();
            long nowUs = reader.microseconds();
            int recordCount = reader.u31();
            int bodyBytes = length - (HEADER_BYTES - 8);
            if (bodyBytes < 0 || bodyBytes > MAX_BODY_BYTES) {
                throw new InvalidInputException(name + " has an impossible length " + length);
            }
            if ((long) recordCount * RECORD_HEADER_BYTES > bodyBytes) {
                throw new InvalidInputException(
                        name + " has an impossible count: " + recordCount + " records in " + bodyBytes + " bytes");
            }
            readBody(name, bodyBytes);
            processBatch(name, bodyBytes, recordCount, nowUs);
            reply.flush(batchNumber, out);
        }
    }

    /** Reads the body into the frame, which grows with the bytes received: a false length allocates no memory. */
    private void readBody(String name, int bodyBytes) throws IOException {
        int received = 0;
        while (received < bodyBytes) {
            if (received == frame.length) {
                frame = Arrays.copyOf(frame, (int) Math.min(bodyBytes, 2L * received));
            }
            int bytesWanted = Math.min(bodyBytes, frame.length) - received;
            int bytesRead = in.readNBytes(frame, received, bytesWanted);
            received += bytesRead;
            if (bytesRead < bytesWanted) {
                throw new InvalidInputException(name + " is truncated: " + received + " of " + bodyBytes + " bytes");
            }
        }
    }

    private void processBatch(String name, int bodyBytes, int recordCount, long nowUs) {
        int recordStart = 0;
        for (int i = 0; i < recordCount; i++) {
            reader.setRange(frame, recordStart, bodyBytes, name);
            int code = reader.u8();
            int end = reader.u31() + recordStart + RECORD_HEADER_BYTES;
            if (end < recordStart || end > bodyBytes) {
                throw new InvalidInputException(name + ", record " + i + " (code " + code + ") runs past the batch");
            }
            reader.setRange(frame, recordStart + RECORD_HEADER_BYTES, end, "it");
            try {
                processEvent(code, nowUs);
            } catch (InvalidInputException e) {
                throw new InvalidInputException(name + ", record " + i + " (code " + code + "): " + e.getMessage());
            }
            recordStart = end;
        }
        if (recordStart != bodyBytes) {
            throw new InvalidInputException(
                    name + " has " + (bodyBytes - recordStart) + " bytes after its last record");
        }
    }

    private void processEvent(int code, long nowUs) {
        if (code < OUTCOME || code > START) {
            return; // unknown record types are skipped
        }
        int instanceNumber = reader.i32();
        Instance instance = instances.get(instanceNumber);
        reply.setInstance(instanceNumber);
        if (code == START) {
            start(instanceNumber, nowUs);
            return;
        }
        if (instance == null) {
            throw new InvalidInputException(
                    "event " + code + " for instance " + instanceNumber + ", which was never started");
        }
        if (code == STOP) {
            instance.router = null;
        } else if (instance.router != null) {
            dispatch(code, nowUs, instance);
        }
    }

    private void start(int instanceNumber, long nowUs) {
        long seed = reader.i64();
        RoutingSettings settings;
        SettingsText text = new SettingsText(reader.text(reader.u31()));
        settings = text.settings();
        Instance instance = new Instance();
        instance.reportFields = text.reportFields();
        try {
            instance.router = new FairRouter(settings, seed, nowUs, reply);
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("settings of instance " + instanceNumber + ": " + e.getMessage());
        }
        instances.put(instanceNumber, instance);
    }

    private void dispatch(int code, long nowUs, Instance instance) {
        RequestRouter router = instance.router;
        switch (code) {
            case OUTCOME -> outcome(nowUs, instance);
            case HEALTH_CHECK -> {
                int endpoint = reader.i32();
                AttemptOutcome result = result(reader.u16());
                long latencyUs = reader.microseconds();
                LoadReport report = report(instance);
                runReportingErrors(() -> router.onHealthCheck(nowUs, endpoint, result, latencyUs, report, reply));
            }
            case REQUEST -> {
                readRequest(reader, request);
                try {
                    router.onRequest(nowUs, request, reply);
                } catch (RuntimeException e) {
                    reportInternalError(e);
                }
            }
            case TIMER -> {
                long label = reader.i64();
                try {
                    router.onTimer(nowUs, label, reply);
                } catch (RuntimeException e) {
                    reportInternalError(e);
                }
            }
            case ENDPOINT_LIST -> endpoints(nowUs, router);
            case CLIENT_GONE -> {
                long id = reader.i64();
                runReportingErrors(() -> router.onClientGone(nowUs, id, reply));
            }
            case STREAM_STARTED -> {
                long id = reader.i64();
                reader.f64();
                reader.i32();
                int attempt = reader.u8();
                runReportingErrors(() -> router.onStreamStarted(nowUs, id, attempt, reply));
            }
            case GOSSIP -> {
                int sender = reader.i32();
                byte[] data = reader.bytes(reader.u16());
                runReportingErrors(() -> router.onGossip(nowUs, sender, data, reply));
            }
            default -> {} // not reached: processEvent handles START and STOP, all other codes are handled above
        }
    }

    private void outcome(long nowUs, Instance instance) {
        long id = reader.i64();
        int attempt = reader.u8();
        reader.i32();
        AttemptOutcome result = result(reader.u16());
        long latencyUs = reader.microseconds();
        boolean concluded = reader.u8() != 0;
        int cacheResultIndex = reader.i32();
        LoadReport report = report(instance);
        try {
            instance.router.onOutcome(
                    nowUs,
                    id,
                    attempt,
                    result,
                    latencyUs,
                    concluded,
                    cacheResultIndex > 0 && cacheResultIndex < CACHE_RESULTS.length
                            ? CACHE_RESULTS[cacheResultIndex]
                            : CacheResult.NONE,
                    report,
                    reply);
        } catch (RuntimeException e) {
            reportInternalError(e);
        }
    }

    private LoadReport report(Instance instance) {
        readReport(reader, instance.reportFields, report);
        return report;
    }

    static void readReport(FrameReader reader, String[] fields, LoadReport report) {
        int fieldCount = reader.u8();
        report.clear();
        for (int i = 0; i < fieldCount; i++) {
            float value = reader.f32();
            SettingsText.setReportField(i < fields.length ? fields[i] : "", value, report);
        }
    }

    static void readRequest(FrameReader reader, RoutingRequest request) {
        request.id = reader.i64();
        request.requestClass = reader.u16();
        request.tenant = reader.u31();
        request.key = reader.i64();
        request.deadlineAtUs = reader.microseconds();
        double expectedWorkMs = reader.f64();
        float size = reader.f32();
        request.sizeBytes = size > 0 ? size : 0;
        int flags = reader.u8();
        request.expectedWorkUs = (flags & 1) != 0 && expectedWorkMs > 0 ? expectedWorkMs * 1000 : 0;
        request.clientRetry = (flags & 2) != 0;
        request.write = (flags & 4) != 0;
    }

    private void endpoints(long nowUs, RequestRouter router) {
        reader.i32(); // list version: not needed, because changes arrive in order and without gaps
        int kindIndex = reader.u8();
        if (kindIndex >= LIST_KINDS.length) {
            throw new InvalidInputException("endpoint list of unknown kind " + kindIndex);
        }
        int count = reader.u31();
        if ((long) count * ENTRY_BYTES > reader.remaining()) {
            throw new InvalidInputException("endpoint list has an impossible count " + count);
        }
        while (endpoints.length < count) {
            int oldLength = endpoints.length;
            endpoints = Arrays.copyOf(endpoints, Math.max(64, 2 * oldLength));
            for (int i = oldLength; i < endpoints.length; i++) {
                endpoints[i] = new EndpointInfo();
            }
        }
        for (int i = 0; i < count; i++) {
            readEndpoint(endpoints[i]);
        }
        runReportingErrors(() -> router.onEndpointList(nowUs, LIST_KINDS[kindIndex], endpoints, count, reply));
    }

    private void readEndpoint(EndpointInfo endpoint) {
        endpoint.cell = reader.u16();
        int state = reader.u8();
        if (state >= STATES.length) {
            throw new InvalidInputException("endpoint entry with unknown state " + state);
        }
        endpoint.state = STATES[state];
        endpoint.id = reader.i32();
        endpoint.weight = reader.f32();
        endpoint.kind = reader.u8();
        endpoint.zone = reader.u16();
        long startedUs = reader.microseconds();
        endpoint.startedUs = startedUs == 0 ? Long.MIN_VALUE : startedUs;
    }

    private static AttemptOutcome result(int status) {
        return switch (status) {
            case 200 -> AttemptOutcome.OK;
            case 500 -> AttemptOutcome.ERROR;
            case 503 -> AttemptOutcome.OVERLOADED;
            case 504 -> AttemptOutcome.TIMEOUT;
            case 502 -> AttemptOutcome.CONNECT_FAILED;
            case 598 -> AttemptOutcome.RESET;
            case 499 -> AttemptOutcome.CANCELLED;
            case 410 -> AttemptOutcome.NOT_SENT;
            case 404 -> AttemptOutcome.MISS;
            default -> AttemptOutcome.ERROR; // unknown status: the attempt may have been executed
        };
    }

    private void runReportingErrors(Runnable routerCall) {
        try {
            routerCall.run();
        } catch (RuntimeException e) {
            reportInternalError(e);
        }
    }

    private void reportInternalError(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        reply.reportInternalError(e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
}
