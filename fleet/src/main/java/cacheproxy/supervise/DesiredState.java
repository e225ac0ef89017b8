package cacheproxy.supervise;

/** The state that the site and its operators want an instance to be in. */
enum DesiredState {
    RUNNING,
    STOPPED,
    /** No longer declared: the process is terminated, then the instance is dropped. */
    REMOVED
}
