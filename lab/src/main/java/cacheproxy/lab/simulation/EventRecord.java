package cacheproxy.lab.simulation;

import cacheproxy.lab.verification.RecordedEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The events of a network in order of time, and of occurrence within one time. */
public final class EventRecord {
    private final List<RecordedEvent> events = new ArrayList<>();
    private boolean off;
    private final List<RecordedEvent> shown = Collections.unmodifiableList(events);

    public List<RecordedEvent> events() {
        return shown;
    }

    /** Stops recording and drops what was recorded: a site of a thousand proxies fills any memory within seconds. */
    public void off() {
        off = true;
        events.clear();
    }

    boolean kept() {
        return !off;
    }

    public void add(RecordedEvent e) {
        if (!off) {
            events.add(e);
        }
    }
}
