package cacheproxy.routing;

/** Where load reports come from. */
public enum LoadReportSource {
    /** There are none. */
    NONE,
    /** Every response carries one. */
    RESPONSES,
    /** Only results of health checks carry one. */
    HEALTH_CHECKS
}
