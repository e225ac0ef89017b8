package cacheproxy.discovery;

/** What the response to a watch must begin with for the list held to count as up to date. */
enum FirstList {
    /** An empty line is enough: it says that nothing has changed since the version that the call has named. */
    IF_CHANGED,
    /** A list, however late it is. */
    REQUIRED,
    /** A list, soon: a watch that stays open without one is given up, and the whole list is requested. */
    REQUIRED_SOON
}
