package cacheproxy.lab.standin;

import cacheproxy.lab.simulation.Link;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** A connection controlled by the driver; bytes are sent once it is established. */
public final class RawConnection implements Link.Handler {
    private final ByteArrayOutputStream before = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private Link link;
    private boolean reading = true;
    private boolean endAtOnce;
    public boolean ended;
    boolean broken;
    public Runnable whenText = () -> {};
    /** Called once when the peer closed, reset or never accepted the connection. */
    public Runnable whenOver = () -> {};

    /** All received bytes. */
    public String text() {
        return text.toString();
    }

    public boolean opened() {
        return link != null;
    }

    public void send(String some) {
        send(LineBuffer.bytes(some));
    }

    void send(byte[] some) {
        if (link == null) {
            before.writeBytes(some);
        } else if (link.open()) {
            link.send(some);
        }
    }

    public void reading(boolean on) {
        reading = on;
        if (link != null) {
            link.reading(on);
        }
    }

    /** Closes its sending side; reading may continue. */
    public void end() {
        endAtOnce = link == null;
        if (link != null && link.open()) {
            link.end();
        }
    }

    void reset() {
        if (link != null && link.open()) {
            link.reset();
        }
    }

    @Override
    public void opened(Link opened) {
        link = opened;
        if (!reading) {
            link.reading(false);
        }
        if (before.size() > 0) {
            link.send(before.toByteArray());
        }
        if (endAtOnce) {
            link.end();
        }
    }

    @Override
    public void received(Link from, byte[] bytes) {
        text.append(new String(bytes, StandardCharsets.ISO_8859_1));
        whenText.run();
    }

    @Override
    public void ended(Link from) {
        over();
    }

    @Override
    public void broken(Link from, String why) {
        broken = true;
        over();
    }

    private void over() {
        if (!ended) {
            ended = true;
            Runnable then = whenOver;
            whenOver = () -> {};
            then.run();
        }
    }
}
