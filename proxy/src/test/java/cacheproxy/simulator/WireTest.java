package cacheproxy.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import cacheproxy.routing.LoadReport;
import cacheproxy.routing.RoutingActions;
import cacheproxy.routing.RoutingRequest;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** The frame encoding and the batch loop of {@link SimHost}, with byte examples from the protocol description. */
class WireTest {
    private static final String SETTINGS = "grades.count=1\ngrades.0.effect=pure\ngrades.0.targetMs=300.0\n"
            + "grades.0.deadlineMs=600.0\ncaps.maxAttempts=3\nunheardOf=1\n";
    private static final String ENDPOINT_LIST = "15 00000039 00000003 00000029 02 00000002"
            + "0000 01 03124a07 3f800000 00 0000 0000000000000000"
            + "0000 01 2c9011f2 3fc00000 00 0001 40b7d40000000000";
    private static final String REQUEST = "12 0000002f 00000003 0008e32b5d3a91c4 0000 00000000 91f03b7c55d20a64"
            + "40d0e62000000000 4028000000000000 44e10000 01";

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    private static byte[] batch(int batchNumber, byte[]... records) {
        byte[] body = join(records);
        return join(
                ByteBuffer.allocate(20)
                        .putInt(batchNumber)
                        .putInt(12 + body.length)
                        .putDouble(241)
                        .putInt(records.length)
                        .array(),
                body);
    }

    private static byte[] startRecord(int instance, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(21 + text.length)
                .put((byte) 25)
                .putInt(16 + text.length)
                .putInt(instance)
                .putLong(99)
                .putInt(text.length)
                .put(text)
                .array();
    }

    private static byte[] run(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    private static String errorMessageOf(byte[] input, int expectedReplies) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        InvalidInputException e = assertThrows(
                InvalidInputException.class, () -> new SimHost(new ByteArrayInputStream(input), out).run());
        assertEquals(12 * expectedReplies, out.size(), "no partial reply");
        assertTrue(!e.getMessage().contains("\n"), "the message is one line");
        return e.getMessage();
    }

    @Test
    void repliesToEmptyBatchWithEmptyReply() throws IOException {
        assertArrayEquals(hex("00000001 00000000 00000000"), run(hex("00000001 0000000c 40c06e2000000000 00000000")));
    }

    @Test
    void endOfInputBetweenBatchesIsNoError() throws IOException {
        assertEquals(0, run(new byte[0]).length);
    }

    @Test
    void encodesActionsInProtocolFormat() throws IOException {
        FrameWriter writer = new FrameWriter();
        writer.setInstance(3);
        writer.sendAttempt(0x0008e32b5d3a91c4L, 0x03124a07, 80_000);
        writer.startTimer(500_000, 0x4d);
        writer.setInstance(5);
        writer.log("two servers known");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flush(12, out);
        assertArrayEquals(
                hex("0000000c 00000003 00000052"
                        + "50 00000018 00000003 0008e32b5d3a91c4 03124a07 4054000000000000"
                        + "54 00000014 00000003 407f400000000000 000000000000004d"
                        + "58 00000017 00000005 0011 74776f2073657276657273206b6e6f776e"),
                out.toByteArray());
    }

    @Test
    void encodesRemainingActionsWithCodeAndLength() throws IOException {
        FrameWriter writer = new FrameWriter();
        writer.setInstance(1);
        writer.reject(2, 1000);
        writer.fail(2);
        writer.cancelAttempt(2, 1);
        writer.checkHealth(7);
        writer.closeIdleConnections(7);
        writer.subscribeToEndpoints();
        writer.fetchEndpoints();
        writer.sendGossip(RoutingActions.ALL_PROXIES, new byte[] {0x68, 0x69, 0x20, 0x37});
        writer.reportInternalError("x");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flush(1, out);
        assertArrayEquals(
                hex("00000001 00000009 00000086"
                        + "51 00000014 00000001 0000000000000002 3ff0000000000000"
                        + "52 0000000c 00000001 0000000000000002"
                        + "53 0000000d 00000001 0000000000000002 01"
                        + "55 00000008 00000001 00000007"
                        + "56 00000008 00000001 00000007"
                        + "5a 00000005 00000001 01"
                        + "5b 00000004 00000001"
                        + "57 0000000c 00000001 ffff 0004 68692037"
                        + "59 00000007 00000001 0001 78"),
                out.toByteArray());
    }

    @Test
    void sendsRequestToListedEndpoint() throws IOException {
        byte[] reply = run(batch(7, startRecord(3, SETTINGS), hex(ENDPOINT_LIST), hex(REQUEST)));
        ByteBuffer bytes = ByteBuffer.wrap(reply);
        assertEquals(7, bytes.getInt());
        assertEquals(1, bytes.getInt());
        bytes.getInt();
        assertEquals(80, bytes.get());
        bytes.getInt();
        assertEquals(3, bytes.getInt());
        assertEquals(0x0008e32b5d3a91c4L, bytes.getLong());
        int endpoint = bytes.getInt();
        assertTrue(endpoint == 0x03124a07 || endpoint == 0x2c9011f2);
    }

    @Test
    void stopsAndRestartsInstanceWithinOneBatch() throws IOException {
        byte[] stopRecord = hex("13 00000004 00000003");
        byte[] reply = run(batch(
                1,
                startRecord(3, SETTINGS),
                hex(ENDPOINT_LIST),
                stopRecord,
                startRecord(3, SETTINGS),
                hex(ENDPOINT_LIST),
                hex(REQUEST)));
        assertEquals(1, ByteBuffer.wrap(reply).getInt(4), "only the attempt of the restarted instance");
        byte[] replyAfterStop = run(batch(1, startRecord(3, SETTINGS), hex(ENDPOINT_LIST), stopRecord, hex(REQUEST)));
        assertEquals(0, ByteBuffer.wrap(replyAfterStop).getInt(4), "a stopped instance requests no actions");
    }

    @Test
    void otherInstancesDoNotAffectAnInstance() throws IOException {
        byte[] replyAlone = run(batch(1, startRecord(3, SETTINGS), hex(ENDPOINT_LIST), hex(REQUEST)));
        byte[] replyBesideOthers = run(batch(
                1,
                startRecord(8, SETTINGS),
                startRecord(3, SETTINGS),
                hex(ENDPOINT_LIST),
                startRecord(9, SETTINGS),
                hex(REQUEST)));
        assertArrayEquals(replyAlone, replyBesideOthers);
    }

    @Test
    void readsFrameLargerThanTheBuffer() throws IOException {
        byte[] record = new byte[5 + 300_000];
        ByteBuffer.wrap(record).put((byte) 0x7b).putInt(300_000);
        byte[] reply = run(batch(4, record, startRecord(3, SETTINGS), hex(ENDPOINT_LIST), hex(REQUEST)));
        assertEquals(1, ByteBuffer.wrap(reply).getInt(4), "the request after the large record is processed");
    }

    @Test
    void skipsUnknownRecords() throws IOException {
        assertEquals(
                0, ByteBuffer.wrap(run(batch(1, hex("7b 00000003 010203")))).getInt(4));
    }

    @Test
    void readsConsecutiveFields() {
        FrameReader reader = new FrameReader();
        byte[] bytes = hex("ff fffe 80000001 0000000000000007 3fc00000 4028000000000000 6869");
        reader.setRange(bytes, 0, bytes.length, "test");
        assertEquals(0xff, reader.u8());
        assertEquals(0xfffe, reader.u16());
        assertEquals(0x80000001, reader.i32());
        assertEquals(7, reader.i64());
        assertEquals(1.5f, reader.f32());
        assertEquals(12_000, reader.microseconds());
        assertEquals("hi", reader.text(2));
        assertEquals(0, reader.remaining());
        assertThrows(InvalidInputException.class, reader::u8);
    }

    @Test
    void describesInvalidInput() {
        byte[] validBatch = batch(1, startRecord(3, SETTINGS), hex(ENDPOINT_LIST));
        assertTrue(errorMessageOf(java.util.Arrays.copyOf(validBatch, validBatch.length - 4), 0)
                .contains("truncated"));
        assertTrue(errorMessageOf(java.util.Arrays.copyOf(validBatch, 11), 0).contains("header"));
        assertTrue(errorMessageOf(hex("00000001 ffffffff 40c06e2000000000 00000000"), 0)
                .contains("number"));
        assertTrue(errorMessageOf(hex("00000001 0000000c 40c06e2000000000 00000009"), 0)
                .contains("count"));
        assertTrue(errorMessageOf(batch(1, hex("12 00ffffff 00000003")), 0).contains("runs past"));
        assertTrue(errorMessageOf(batch(1, hex("14 00000004 00000003")), 0).contains("never started"));
        assertTrue(errorMessageOf(batch(1, startRecord(3, SETTINGS), hex("14 00000004 00000003")), 0)
                .contains("too short"));
        assertTrue(
                errorMessageOf(batch(1, startRecord(3, SETTINGS), hex("15 0000000d 00000003 00000001 01 00ffffff")), 0)
                        .contains("impossible count"));
        assertTrue(errorMessageOf(batch(1, startRecord(3, "tickMs=soon")), 0).contains("tickMs"));
        assertTrue(errorMessageOf(batch(1, startRecord(3, "grades.count=0")), 0).contains("class"));
        String unknownStateMessage = errorMessageOf(
                batch(1, startRecord(3, SETTINGS), hex(ENDPOINT_LIST.replace("0000 01 03124a07", "0000 07 03124a07"))),
                0);
        assertEquals("batch 0, record 1 (code 21): endpoint entry with unknown state 7", unknownStateMessage);
        assertTrue(errorMessageOf(hex("00000001 3ffffff0 40c06e2000000000 00000001 7b"), 0)
                .contains("truncated: 1 of"));
        assertTrue(errorMessageOf(join(batch(1), batch(2, hex("12 00ffffff 00000003"))), 1)
                .contains("batch 1"));
    }

    /**
     * Gossip and a health check result with a load report are passed to the router, which requests no actions; extra
     * bytes at the end of a record are skipped.
     */
    @Test
    void acceptsGossipAndHealthCheckResults() throws IOException {
        byte[] gossip = hex("16 0000000e 00000003 00000002 0004 68692037");
        byte[] healthCheck = hex("11 0000001c 00000003 03124a07 00c8 4032800000000000 02 3f000000 40000000 ff");
        byte[] reply = run(batch(
                1, startRecord(3, SETTINGS + "reporting.fields=busy,q\n"), hex(ENDPOINT_LIST), gossip, healthCheck));
        assertEquals(0, ByteBuffer.wrap(reply).getInt(4));
        assertTrue(errorMessageOf(batch(1, startRecord(3, SETTINGS), hex("16 0000000c 00000003 00000002 0004 6869")), 0)
                .contains("too short"));
    }

    @Test
    void readsLoadReportByFieldNamesInTheSettings() {
        FrameReader reader = new FrameReader();
        byte[] bytes = hex("08 3f800000 40000000 3f000000 41200000 40800000 40a00000 3e800000 40c00000");
        reader.setRange(bytes, 0, bytes.length, "test");
        LoadReport report = new LoadReport();
        SimHost.readReport(reader, "rif,q,busy,lat_ms,rate,fail_rate,x0,x1".split(","), report);
        assertEquals(1, report.inFlight);
        assertEquals(2, report.queueLength);
        assertEquals(0.5, report.cpuUtilization);
        assertEquals(10_000, report.latencyUs);
        assertEquals(4, report.requestsPerSecond);
        assertEquals(5, report.errorsPerSecond);
        assertEquals(0.25, report.hitRatio);
        assertEquals(6, report.originFetchesInFlight);
        reader.setRange(hex("00"), 0, 1, "test");
        SimHost.readReport(reader, new String[] {"busy"}, report);
        assertTrue(
                Double.isNaN(report.cpuUtilization) && Double.isNaN(report.queueLength),
                "no value of the previous report remains");
    }

    @Test
    void readsRequestWithSizeExpectedWorkAndFlags() {
        FrameReader reader = new FrameReader();
        byte[] bytes =
                hex("0008e32b5d3a91c4 0002 00000005 91f03b7c55d20a64 40c0e62000000000 4028000000000000 44e10000 07");
        reader.setRange(bytes, 0, bytes.length, "test");
        RoutingRequest request = new RoutingRequest();
        SimHost.readRequest(reader, request);
        assertEquals(0x0008e32b5d3a91c4L, request.id);
        assertEquals(2, request.requestClass);
        assertEquals(5, request.tenant);
        assertEquals(0x91f03b7c55d20a64L, request.key);
        assertEquals(8_652_250, request.deadlineAtUs);
        assertEquals(12_000, request.expectedWorkUs);
        assertEquals(1800, request.sizeBytes);
        assertTrue(request.clientRetry && request.write);
    }

    @Test
    void reportsExceptionInTheRouterAsInternalError() throws IOException {
        byte[] requestWithNegativeId = hex(REQUEST.replace("0008e32b5d3a91c4", "ffffffffffffffff"));
        byte[] reply = run(batch(1, startRecord(3, SETTINGS), hex(ENDPOINT_LIST), requestWithNegativeId));
        assertEquals(1, ByteBuffer.wrap(reply).getInt(4));
        assertEquals(89, reply[12]);
        assertTrue(new String(reply, StandardCharsets.UTF_8).contains("negative key"));
    }
}
