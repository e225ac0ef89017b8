package cacheproxy.lab.standin;

/**
 * One attempt of a request. Each attempt has a new id, except after a connection that was closed before the proxy read
 * it.
 */
final class ClientAttempt {
    final RequestLedger.Entry entry;
    final String id;
    /** Number of earlier attempts. */
    final int before;

    final long giveUpNs;
    ClientConnection line;
    boolean over;
    /** Whether it crossed the close of a connection and was sent again on a new one. */
    boolean again;

    ClientAttempt(RequestLedger.Entry entry, String id, int before, long giveUpNs) {
        this.entry = entry;
        this.id = id;
        this.before = before;
        this.giveUpNs = giveUpNs;
    }
}
