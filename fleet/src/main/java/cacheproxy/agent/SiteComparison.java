package cacheproxy.agent;

import cacheproxy.site.DeclaredInstance;
import cacheproxy.site.SiteFile;
import cacheproxy.supervise.Instance;
import cacheproxy.supervise.InstanceSpec;
import cacheproxy.supervise.Supervisor;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The changes that applying a site file makes, by instance name.
 *
 * @param reload instances of which only the configuration differs
 * @param needRestart instances that need a restart
 * @param unchanged number of instances whose declaration is the same
 */
record SiteComparison(
        String site,
        List<String> added,
        List<String> removed,
        List<String> reload,
        List<String> needRestart,
        int unchanged) {

    static SiteComparison of(SiteFile site, Supervisor supervisor) {
        List<String> added = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        List<String> reload = new ArrayList<>();
        List<String> needRestart = new ArrayList<>();
        supervisor.instances().forEach(instance -> removed.add(instance.name));
        int unchanged = 0;
        for (DeclaredInstance declared : site.instances()) {
            String name = declared.name();
            removed.remove(name);
            Instance instance = supervisor.instance(name);
            InstanceSpec before = instance == null ? null : instance.spec();
            InstanceSpec after = declared.spec();
            if (before == null) {
                added.add(name);
            } else if (!before.launch().equals(after.launch())) {
                needRestart.add(name);
            } else if (!before.configuration().equals(after.configuration())) {
                reload.add(name);
            } else {
                unchanged++;
            }
        }
        return new SiteComparison(site.name(), added, removed, reload, needRestart, unchanged);
    }

    /** The reply sent on the control channel. */
    Map<String, Object> toReply() {
        Map<String, Object> reply = new LinkedHashMap<>();
        reply.put("site", site);
        reply.put("added", added);
        reply.put("removed", removed);
        reply.put("reload", reload);
        reply.put("needRestart", needRestart);
        reply.put("unchanged", unchanged);
        return reply;
    }
}
