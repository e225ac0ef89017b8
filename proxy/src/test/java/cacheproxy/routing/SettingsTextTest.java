package cacheproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.common.InvalidInputException;
import org.junit.jupiter.api.Test;

class SettingsTextTest {
    private static final String TEXT = """
            az=2
            balancers=26
            caps.maxAttempts=6
            caps.mayCancel=true
            caps.secondCopies=false
            caps.maxRetryAfterMs=2000.0
            familyInfo.mode=aside
            familyInfo.originKind=3
            grades.count=2
            grades.0.effect=token
            grades.0.group=cell
            grades.0.targetMs=1500.0
            grades.0.repeatWindowMs=2000.5
            grades.1.effect=pure
            grades.1.targetMs=300
            registryMode=subscribe
            reporting.fields=q,busy
            rules.coldFrom=0.3
            rules.coldMs=8900.0
            tenants.count=1
            tenants.0.name=north
            tenants.0.quotaPerS=114.0
            something.new=7
            caps.multiplex=16
            caps.idleCloseMs=60000.0
            caps.dialTimeoutMs=250.0
            caps.peers=true
            caps.cpuUsPerRequest=10.0
            grades.0.aimStretch=2.5
            overShareWorth=0.05
            clients.marksRetry=true
            countedBy=work
            weights=rough
            reporting.source=inline
            familyInfo.originFallMultiple=3.0
            familyInfo.originFallMs=3000.0
            rules.graceToAnswerMs=20.0
            deductions.crossZone=0.06
            deductions.handshake=0.03
            scoreParts.slowEnd=0.2
            scoreParts.missAllowed=0.02
            scoreParts.worstTenant=0.4
            """;

    @Test
    void readsValuesAndIgnoresUnknownPaths() {
        SettingsText text = new SettingsText(TEXT);
        RoutingSettings settings = text.settings();
        assertEquals(2, settings.zone);
        assertEquals(26, settings.proxyCount);
        assertEquals(6, settings.maxAttempts);
        assertTrue(settings.cancellationAllowed
                && !settings.hedgingAllowed
                && settings.cacheAside
                && settings.subscribeRequired);
        assertEquals(3, settings.originKind);
        assertEquals(2_000_000, settings.maxRetryAfterUs);
        assertEquals(Idempotency.IDEMPOTENCY_KEY, settings.requestClasses[0].idempotency);
        assertEquals(DeduplicationScope.CELL, settings.requestClasses[0].deduplicationScope);
        assertEquals(1_500_000, settings.requestClasses[0].latencyObjectiveUs);
        assertEquals(2_000_500, settings.requestClasses[0].deduplicationWindowUs);
        assertEquals(Idempotency.IDEMPOTENT, settings.requestClasses[1].idempotency);
        assertEquals(0.3, settings.slowStartInitialCapacity);
        assertEquals(8_900_000, settings.slowStartUs);
        assertEquals("north", settings.tenants[0].name);
        assertEquals(114.0, settings.tenants[0].requestsPerSecond);
        assertEquals("q busy", String.join(" ", text.reportFields()));
        assertEquals(16, settings.streamsPerConnection);
        assertEquals(60_000_000, settings.idleTimeoutUs);
        assertEquals(250_000, settings.connectTimeoutUs);
        assertEquals(2.5, settings.requestClasses[0].latencyObjectiveStretch);
        assertEquals(0.05, settings.overQuotaValue);
        assertTrue(settings.clientsMarkRetries && settings.gossipAllowed && settings.valueByWork);
        assertEquals(EndpointWeightSource.ROUGH, settings.weightSource);
        assertEquals(LoadReportSource.RESPONSES, settings.loadReportSource);
        assertEquals(3.0, settings.originCollapseMultiple);
        assertEquals(3_000_000, settings.originCollapseUs);
        assertEquals(20_000, settings.responseGraceUs);
        assertEquals(0.06, settings.crossZonePrice);
        assertEquals(0.03, settings.handshakePrice);
        assertEquals(0.2, settings.tailLatencyWeight);
        assertEquals(0.02, settings.allowedMissShare);
        assertEquals(0.4, settings.worstTenantWeight);
        assertEquals(10.0, settings.cpuUsPerRequest);
    }

    @Test
    void treatsMissingEffectAsNotIdempotent() {
        assertEquals(
                Idempotency.NOT_IDEMPOTENT,
                new SettingsText("grades.count=1\n").settings().requestClasses[0].idempotency);
    }

    @Test
    void namesTheSettingWhoseValueIsInvalid() {
        for (String invalidLine : new String[] {
            "balancers=many",
            "balancers=0",
            "balancers=1.5",
            "grades.count=-1",
            "grades.count=99999999",
            "rules.coldFrom=NaN",
            "caps.mayCancel=perhaps",
            "registryMode=rumour",
            "familyInfo.mode=sideways",
            "tickMs=-1"
        }) {
            InvalidInputException e = assertThrows(
                    InvalidInputException.class, () -> new SettingsText(invalidLine).settings(), invalidLine);
            assertTrue(e.getMessage().contains(invalidLine.substring(0, invalidLine.indexOf('='))), e.getMessage());
        }
        assertThrows(InvalidInputException.class, () -> new SettingsText("no equals sign"));
    }

    @Test
    void checkNamesTheInvalidSetting() {
        RoutingSettings settings = Fixture.settings(Idempotency.IDEMPOTENT);
        settings.slowStartInitialCapacity = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, settings::check)
                .getMessage()
                .contains("coldFrom"));
        settings.slowStartInitialCapacity = 1;
        settings.cacheAside = true;
        assertTrue(assertThrows(IllegalArgumentException.class, settings::check)
                .getMessage()
                .contains("originKind"));
        settings.cacheAside = false;
        settings.maxAttempts = 0;
        assertTrue(assertThrows(IllegalArgumentException.class, settings::check)
                .getMessage()
                .contains("maxAttempts"));
    }
}
