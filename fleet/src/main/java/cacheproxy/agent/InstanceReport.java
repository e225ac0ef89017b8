package cacheproxy.agent;

import cacheproxy.site.DeclaredInstance;
import cacheproxy.supervise.Instance;
import java.util.LinkedHashMap;
import java.util.Map;

/** Formats an instance for {@code list} and {@code status} on the control channel; clients depend on the keys. */
final class InstanceReport {
    private InstanceReport() {}

    /** @param declared the declaration; null if the instance is no longer declared */
    static Map<String, Object> of(Instance instance, DeclaredInstance declared, long now) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("name", instance.name);
        report.put("state", instance.state().words());
        report.put("wanted", instance.wanted());
        report.put("forMs", now - instance.stateSinceMs());
        report.put("start", instance.lastStart());
        if (instance.identity() != null) {
            report.put("pid", instance.identity().pid());
        }
        if (declared != null) {
            report.put("listen", declared.listen());
        }
        if (instance.consecutiveCrashes() > 0) {
            report.put("crashes", instance.consecutiveCrashes());
        }
        if (!instance.state().mayRun() && instance.lastStart() > 0) {
            report.put("exitCode", instance.exitCode() < 0 ? "unknown" : Integer.toString(instance.exitCode()));
        }
        if (instance.outdated()) {
            report.put("needRestart", true);
        }
        if (!instance.fault().isEmpty()) {
            report.put("trouble", instance.fault());
        }
        if (!instance.refusalReason().isEmpty()) {
            report.put("refused", instance.refusalReason());
        }
        return report;
    }
}
