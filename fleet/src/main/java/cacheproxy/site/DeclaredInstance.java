package cacheproxy.site;

import cacheproxy.supervise.InstanceSpec;
import java.util.List;
import java.util.Map;

/**
 * One instance as a site file declares it, with all templates expanded.
 *
 * @param program the program that the instance runs: serve, demo-node or demo-discovery
 * @param listen address and port, as ADDRESS:PORT
 * @param configuration text of its configuration file; null if it has none
 * @param greet whether the instance counts as ready only once it answers a greeting at {@code listen}
 */
public record DeclaredInstance(
        InstanceSpec spec,
        String program,
        List<String> arguments,
        List<String> jvm,
        String listen,
        String discovery,
        String configuration,
        Map<String, String> environment,
        boolean greet) {
    /** The name, unique in its site. */
    public String name() {
        return spec.name();
    }
}
