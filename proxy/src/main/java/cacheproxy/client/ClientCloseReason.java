package cacheproxy.client;

/** Why this process closed a client connection, for the log. */
enum ClientCloseReason {
    RESPONSES_NOT_READ("too many unwritten response bytes in the proxy"),
    FRAMING_LOST("protocol framing lost or too many protocol errors, further input is not decoded"),
    CLOSED_AFTER_LAST_RESPONSE(
            "all requests answered; closed for idle timeout, shutdown, lack of capacity or an invalid or late command"),
    READS_TOO_SLOWLY("client reads nothing of its last responses"),
    IDLE("closed to free its descriptor, or because it sent no valid command in time"),
    ERROR("connection error");

    final String text;

    ClientCloseReason(String text) {
        this.text = text;
    }
}
