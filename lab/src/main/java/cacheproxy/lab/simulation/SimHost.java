package cacheproxy.lab.simulation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine by its host name: its sockets and its network faults. It outlives the programs that run on it. */
final class SimHost {
    final String name;
    /** Sockets that the program has open; those it closed are left to the kernel. */
    final Set<SimSocket> sockets = new LinkedHashSet<>();

    final List<SimAddress> listening = new ArrayList<>();
    /** Sockets that were open when the machine vanished, which their peers do not know. */
    final List<SimSocket> lost = new ArrayList<>();

    int mostSockets;
    boolean vanished;
    /** Until then packets in both directions are held back. */
    long heldUntil;

    long extraNs;
    /** The side of a network partition; machines reach their own side, and 0 reaches all. */
    int part;
    /** Whether it still receives from the other sides: a one-way partition. */
    boolean hears;
    /** Connections of this machine, oldest first. */
    final Set<SimConnection> wires = new LinkedHashSet<>();

    /** Whether packets from here to the other machine are dropped. */
    boolean apart(SimHost other) {
        return part != other.part && part != 0 && other.part != 0 && !other.hears;
    }

    SimHost(String name) {
        this.name = name;
    }

    void opened(SimSocket s) {
        sockets.add(s);
        mostSockets = Math.max(mostSockets, sockets.size());
    }
}
