package cacheproxy.agent;

/**
 * Lets tests kill the agent at a chosen point: {@code -Dcacheproxy.failpoint=NAME:N} halts the process when it passes
 * the failpoint of that name for the Nth time. Without the property a failpoint costs one comparison.
 */
final class Failpoint {
    /** Exit code of a process halted by a failpoint. */
    static final int EXIT_CODE = 99;

    private static final String ARMED_NAME;
    private static final int ARMED_PASS;
    private static int passes;

    static {
        String property = System.getProperty("cacheproxy.failpoint", "");
        int colon = property.indexOf(':');
        ARMED_NAME = colon < 0 ? null : property.substring(0, colon);
        ARMED_PASS = colon < 0 ? 0 : Integer.parseInt(property.substring(colon + 1));
    }

    private Failpoint() {}

    static synchronized void pass(String name) {
        if (ARMED_NAME != null && ARMED_NAME.equals(name) && ++passes == ARMED_PASS) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
