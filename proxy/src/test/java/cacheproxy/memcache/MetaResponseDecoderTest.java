package cacheproxy.memcache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.limits.ByteBudget;
import cacheproxy.routing.CacheResult;
import cacheproxy.routing.LoadReport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the decoding of endpoint response lines and their flags. */
class MetaResponseDecoderTest {

    private static MetaResponse decode(String text) {
        EmbeddedChannel channel = new EmbeddedChannel(new MetaResponseDecoder(new ByteBudget(1 << 20)));
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        return channel.readInbound();
    }

    private static LoadReport loadReport(String fields) {
        LoadReport report = new LoadReport();
        decode("HD Oa1 c7 L" + fields + "\r\n").readLoadReport(report);
        return report;
    }

    @Test
    void decodesCacheFlags() {
        assertEquals(CacheResult.HIT, decode("HD Oa1 c7 h1\r\n").cacheNote());
        assertEquals(CacheResult.MISS, decode("HD Oa1 c7 h0\r\n").cacheNote());
        assertEquals(
                CacheResult.MISS_FETCH_IN_FLIGHT, decode("HD Oa1 Z c7 h0\r\n").cacheNote());
        assertEquals(CacheResult.HIT, decode("HD Oa1 Z c7 h1\r\n").cacheNote(), "a hit does not wait for a fetch");
        assertEquals(CacheResult.NONE, decode("HD Oa1 Z c7\r\n").cacheNote());
    }

    @Test
    void ignoresLoadFieldsWithoutNumber() {
        LoadReport report = loadReport("util,=2,busy=0.25,rif=3,inflight");
        assertEquals(0.25, report.cpuUtilization);
        assertEquals(3, report.inFlight);
        assertTrue(Double.isNaN(report.queueLength));
    }

    /** If believed, a report of a hundred busy cores would make the endpoint look overloaded for minutes. */
    @Test
    void ignoresImplausibleLoadNumbers() {
        assertEquals(4, loadReport("busy=4").cpuUtilization);
        assertTrue(Double.isNaN(loadReport("busy=4.5,rif=3").cpuUtilization));
        assertEquals(3, loadReport("busy=4.5,rif=3").inFlight);
        assertEquals(1e7, loadReport("rif=10000000").inFlight);
        assertTrue(Double.isNaN(loadReport("rif=10000001").inFlight));
        assertEquals(0, loadReport("rif=0").inFlight, "zero is a valid number");
    }

    @Test
    void reportsBlankLinesAsMalformed() {
        assertEquals(ResponseStatus.MALFORMED, decode("\r\n").status());
        assertEquals(ResponseStatus.MALFORMED, decode("   \r\n").status());
    }

    @Test
    void skipsExtraBlanksBetweenFields() {
        MetaResponse response = decode("HD  Oa1  c7\r\n");
        assertEquals("Oa1", response.opaque());
        assertEquals("c7", response.receipt());
    }

    /** Error lines have no id in this protocol, so a token that looks like one must not be used to match a request. */
    @Test
    void ignoresIdOnErrorLines() {
        for (String line :
                new String[] {"SERVER_ERROR busy 40 Oa1", "SERVER_ERROR failed Oa1", "EN", "CLIENT_ERROR x", "ERROR"}) {
            assertTrue(decode(line + "\r\n").hasNoOpaque(), line);
        }
        assertEquals(ResponseStatus.BUSY, decode("SERVER_ERROR busy\r\n").status());
        assertEquals(ResponseStatus.FAILED, decode("SERVER_ERROR\r\n").status());
        assertEquals(ResponseStatus.FAILED, decode("SERVER_ERROR Busy\r\n").status());
    }

    @Test
    void encodesForClientWithoutProxyFlags() {
        ByteBuf line = decode("HD Oa1 c7 h0 Z Lbusy=0.5\r\n").encode();
        assertEquals("HD Oa1 c7\r\n", line.toString(StandardCharsets.ISO_8859_1));
        ByteBuf value = decode("VA 2 Oa1 h1 Lbusy=0.5\r\nok\r\n").encode();
        assertEquals("VA 2 Oa1\r\nok\r\n", value.toString(StandardCharsets.ISO_8859_1));
    }

    /** One report object is reused for all responses, so the previous report must not remain in it. */
    @Test
    void responseWithoutLoadReportClearsReport() {
        LoadReport report = loadReport("busy=0.5,rif=3");
        decode("HD Oa2 c7\r\n").readLoadReport(report);
        assertTrue(Double.isNaN(report.cpuUtilization) && Double.isNaN(report.inFlight));
    }
}
