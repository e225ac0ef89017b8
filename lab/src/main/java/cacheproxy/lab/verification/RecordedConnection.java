package cacheproxy.lab.verification;

import java.util.Arrays;

/** One connection as recorded. Arrays are indexed by side: 0 dialled, 1 accepted. */
final class RecordedConnection {
    final long link;
    final String[] hosts = new String[2];
    /** The dialled address, if recorded. */
    String address;

    int opened = Trace.NEVER;
    /** Its first entry in the record. */
    int firstEntry = Trace.NEVER;
    /** Indexed by the sending side. */
    final RecordedStream[] streams = {new RecordedStream(), new RecordedStream()};

    final int[] finSent = never();
    final int[] resetSent = never();
    /** Indexed by the receiving side. */
    final int[] finArrived = never();

    final int[] resetArrived = never();
    final boolean[] recorded = new boolean[2];
    /** The proxy at one of its sides, once known; set by {@link RequestHistory}. */
    String proxy;

    RecordedConnection(long link) {
        this.link = link;
    }

    private static int[] never() {
        int[] out = new int[2];
        Arrays.fill(out, Trace.NEVER);
        return out;
    }

    void add(RecordedEvent event, int entry, boolean accepts) {
        firstEntry = Math.min(firstEntry, entry);
        switch (event.kind()) {
            case DIAL -> {
                hosts[0] = event.who();
                address = event.note();
                recorded[0] = true;
            }
            case OPEN -> {
                hosts[1] = event.who();
                hosts[0] = hosts[0] == null ? event.note() : hosts[0];
                opened = entry;
                recorded[1] = true;
            }
            default -> recordFrom(event, entry, accepts);
        }
    }

    private void recordFrom(RecordedEvent event, int entry, boolean accepts) {
        int side = side(event.who(), accepts);
        if (side < 0) {
            return; // caused by the network, which records it at the affected side
        }
        recorded[side] = true;
        switch (event.kind()) {
            case SENT -> streams[side].sent(event.data(), entry);
            case ARRIVED -> streams[1 - side].arrived(event.data(), entry);
            case END_SENT -> keepFirst(finSent, side, entry);
            case RESET_SENT -> keepFirst(resetSent, side, entry);
            case END_ARRIVED -> keepFirst(finArrived, side, entry);
            case RESET_ARRIVED -> keepFirst(resetArrived, side, entry);
            default -> {}
        }
    }

    private static void keepFirst(int[] entries, int side, int entry) {
        entries[side] = Math.min(entries[side], entry);
    }

    private int side(String name, boolean accepts) {
        for (int side = 0; side < 2; side++) {
            if (name.equals(hosts[side])) {
                return side;
            }
        }
        int side = accepts ? 1 : 0;
        if (hosts[side] != null && (recorded[side] || hosts[1 - side] != null)) {
            return -1;
        }
        hosts[side] = name;
        return side;
    }

    void finish() {
        for (int side = 0; side < 2; side++) {
            streams[side].senderRecorded = recorded[side];
            streams[side].receiverRecorded = recorded[1 - side];
        }
    }

    /** The entry in which a side closed or reset it; if that side is not recorded, in which its peer saw this. */
    int closed(int side) {
        return recorded[side]
                ? Math.min(finSent[side], resetSent[side])
                : Math.min(finArrived[1 - side], resetArrived[1 - side]);
    }

    /**
     * The entry in which a side saw its peer's close or reset; if that side is not recorded, in which the peer sent it.
     */
    int peerCloseSeen(int side) {
        return recorded[side]
                ? Math.min(finArrived[side], resetArrived[side])
                : Math.min(finSent[1 - side], resetSent[1 - side]);
    }

    /** The entry in which the network broke the connection; {@link Trace#NEVER} if a side did or none. */
    int brokenByNetwork() {
        int out = Trace.NEVER;
        for (int side = 0; side < 2; side++) {
            if (recorded[1 - side] && resetSent[1 - side] == Trace.NEVER) {
                out = Math.min(out, resetArrived[side]);
            }
        }
        return out;
    }
}
