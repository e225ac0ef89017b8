package cacheproxy.lab.experiment;

/** What an experiment runs on. */
public enum Engine {
    /** Simulated time: repeatable to the digit, many runs in parallel. */
    SIMULATED,
    /** Processes of the program on loopback, in real time, one run after the other. */
    PROCESSES
}
