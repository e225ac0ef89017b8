package cacheproxy.replication.node;

import cacheproxy.common.InvalidInputException;
import cacheproxy.control.ControlServer;
import cacheproxy.replication.Message;
import cacheproxy.replication.OperatorCommands;
import cacheproxy.replication.Replica;
import cacheproxy.replication.ReplicaActions;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The process of one member: its replica and connections on one event loop, its command log on a separate thread, and
 * its control socket in its folder.
 */
public final class MemberService implements ReplicaActions {
    /** The control socket in the member's folder. */
    static final String SOCKET = "member.sock";

    private static final int MAX_QUEUED_WRITES = 1_024;
    /** Random bits of an incarnation, below its start time: a member restored from an old disk must not reuse one. */
    private static final int INCARNATION_RANDOM_BITS = 12;

    private final MemberFile file;
    private final EventLoop loop = newEventLoop();
    private final ThreadPoolExecutor disk = new ThreadPoolExecutor(
            1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_WRITES), task -> new Thread(task, "disk"));
    private final CommandLog log;
    private final PeerConnections peers;
    private final Replica replica;
    private final MemberControl control;
    /** The last disk fault, empty if the last write was durable; written by the disk thread and the event loop. */
    private volatile String diskFault = "";

    private MemberService(Path folder) throws IOException {
        file = MemberFile.read(folder);
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        log = CommandLog.open(folder);
        if (log.skippedBytes() > 0) {
            System.err.println("member " + file.name() + ": skipped " + log.skippedBytes() + " unreadable bytes of "
                    + CommandLog.FILE + "; the commands in them have to come from other members");
        }
        SecureRandom random = new SecureRandom();
        long incarnation = (wallMs() << INCARNATION_RANDOM_BITS) + random.nextInt(1 << INCARNATION_RANDOM_BITS);
        replica = new Replica(
                file.name(),
                incarnation,
                List.copyOf(file.peers().keySet()),
                file.settings(),
                random.nextLong(),
                nowMs(),
                this);
        peers = new PeerConnections(loop, file.peers(), m -> replica.receive(m, nowMs()));
        control = new MemberControl(this, incarnation);
        loop.submit(() -> log.contents().forEach((key, commands) -> replica.restore(key, commands, nowMs())))
                .syncUninterruptibly();
        peers.listen(file.listen());
        ControlServer.open(newEventLoop(), folder.resolve(SOCKET), control);
        long roundMs = file.settings().roundMs();
        loop.scheduleAtFixedRate(this::tick, roundMs, roundMs, TimeUnit.MILLISECONDS);
    }

    private static EventLoop newEventLoop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /**
     * Starts the member in this folder; its threads run until the process is ended.
     *
     * @throws InvalidInputException if its file is invalid or an address is in use
     */
    public static void run(Path folder) throws IOException {
        MemberService member = new MemberService(folder);
        System.err.println("member " + member.file.name() + ": listening on " + member.file.listen());
    }

    private void tick() {
        try {
            replica.tick(nowMs());
        } catch (RuntimeException e) {
            // the executor cancels a periodic task that throws
            System.err.println("member " + file.name() + ": gossip round failed: " + e);
        }
    }

    MemberFile file() {
        return file;
    }

    EventLoop loop() {
        return loop;
    }

    Replica replica() {
        return replica;
    }

    PeerConnections peers() {
        return peers;
    }

    /** Bytes of the command log that could not be read at the start. */
    long skippedLogBytes() {
        return log.skippedBytes();
    }

    /** The last fault of the disk, empty for none. */
    String diskFault() {
        return diskFault;
    }

    /** Monotonic, in ms. */
    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Unix time in ms, with the configured offset. */
    long wallMs() {
        return System.currentTimeMillis() + file.clockOffsetMs();
    }

    @Override
    public void send(String peer, Message message) {
        peers.send(peer, message);
    }

    @Override
    public void store(String key, OperatorCommands commands, long token) {
        try {
            disk.execute(() -> write(key, commands, token));
        } catch (RejectedExecutionException e) {
            diskFault = MAX_QUEUED_WRITES + " writes wait for the disk";
        }
    }

    /** Called on the disk thread. A failed write is never reported as stored, so nothing is acknowledged. */
    private void write(String key, OperatorCommands commands, long token) {
        try {
            log.append(key, commands);
            diskFault = "";
            loop.execute(() -> replica.onStored(token, nowMs()));
        } catch (IOException e) {
            diskFault = String.valueOf(e.getMessage());
        }
    }

    @Override
    public void entryChanged(String key) {
        // clients read the state through the control socket
    }

    @Override
    public void commandAcknowledged(long sequence, boolean durable, int copies) {
        control.commandAcknowledged(sequence, durable, copies);
    }
}
