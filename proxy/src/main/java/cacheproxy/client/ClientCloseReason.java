package cacheproxy.client;

/** Why this process closed a client connection, for the log. */
enum ClientCloseReason {
    RESPONSES_NOT_READ("too many unwritten response bytes in the proxy"),
    FRAMING_LOST("protocol framing lost, further input cannot be decoded"),
    CLOSED_AFTER_LAST_RESPONSE("last response sent"),
    READS_TOO_SLOWLY("client reads nothing of its last responses"),
    IDLE("idle, closed to free its descriptor or for shutdown"),
    ERROR("connection error");

    final String text;

    ClientCloseReason(String text) {
        this.text = text;
    }
}
