package cacheproxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.FileRegion;
import io.netty.util.AbstractReferenceCounted;
import java.io.IOException;
import java.nio.channels.WritableByteChannel;
import java.util.function.BooleanSupplier;

/**
 * Bytes that must not be written after a deadline. A channel buffers what the peer does not read and writes it as soon
 * as the peer reads again, before any timer runs. The rest of a retry could then arrive after the endpoint's
 * deduplication window, and the request would be executed twice. This class checks the deadline before each write and
 * fails the write once it has passed, which closes the connection before the request is complete.
 *
 * <p>Implemented as a {@link FileRegion} because Netty calls its {@code transferTo} for each write. Owns the buffer and
 * releases it when it is released itself.
 */
final class DeadlineWrite extends AbstractReferenceCounted implements FileRegion {
    private final ByteBuf bytes;
    private final int count;
    private final BooleanSupplier deadlinePassed;

    DeadlineWrite(ByteBuf bytes, BooleanSupplier deadlinePassed) {
        this.bytes = bytes;
        this.count = bytes.readableBytes();
        this.deadlinePassed = deadlinePassed;
    }

    @Override
    public long transferTo(WritableByteChannel target, long position) throws IOException {
        if (deadlinePassed.getAsBoolean()) {
            throw new IOException("the deadline for the rest of the request has passed");
        }
        int written = target.write(bytes.nioBuffer());
        bytes.skipBytes(Math.max(0, written));
        return written;
    }

    @Override
    public long position() {
        return 0;
    }

    @Override
    public long transferred() {
        return count - bytes.readableBytes();
    }

    /** The deprecated name of {@link #transferred}, which the interface still requires. */
    @Override
    @Deprecated
    public long transfered() {
        return transferred();
    }

    @Override
    public long count() {
        return count;
    }

    @Override
    protected void deallocate() {
        bytes.release();
    }

    @Override
    public FileRegion retain() {
        super.retain();
        return this;
    }

    @Override
    public FileRegion retain(int increment) {
        super.retain(increment);
        return this;
    }

    @Override
    public FileRegion touch() {
        return this;
    }

    @Override
    public FileRegion touch(Object hint) {
        return this;
    }
}
