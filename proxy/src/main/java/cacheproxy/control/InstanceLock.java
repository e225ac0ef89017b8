package cacheproxy.control;

import cacheproxy.common.InvalidInputException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * An exclusive lock on an instance's name, held until the process ends, when the kernel releases it. A second process
 * with the same name can't start. The lock file must not be opened twice in one process: closing either handle would
 * release the lock (fcntl(2)).
 */
public final class InstanceLock {
    /** Exit code of a process whose name is locked by another. */
    public static final int EXIT_CODE_HELD = 3;

    /** Another process holds the lock on the name. */
    public static final class HeldException extends InvalidInputException {
        private static final long serialVersionUID = 1L;

        HeldException(String message) {
            super(message);
        }
    }

    private static final int MAX_PID_BYTES = 32;

    private final FileChannel channel;
    private final FileLock lock;

    private InstanceLock(FileChannel channel, FileLock lock) {
        this.channel = channel;
        this.lock = lock;
    }

    /**
     * Acquires the lock and writes this process's id into the file.
     *
     * @throws HeldException if another process holds it
     * @throws InvalidInputException if the file can't be opened
     */
    public static InstanceLock acquire(String name, Path file) {
        try {
            FileChannel channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
            FileLock lock = channel.tryLock();
            if (lock == null) {
                String holder = holder(channel);
                channel.close();
                throw new HeldException("the name " + name + " is held by another process" + holder + ": " + file);
            }
            channel.truncate(0);
            String pid = ProcessHandle.current().pid() + "\n";
            channel.write(ByteBuffer.wrap(pid.getBytes(StandardCharsets.UTF_8)), 0);
            return new InstanceLock(channel, lock);
        } catch (IOException e) {
            throw new InvalidInputException("cannot open the lock file of the name " + name + ": " + e);
        }
    }

    /** " (pid N)", or nothing if the file is empty. */
    private static String holder(FileChannel channel) throws IOException {
        ByteBuffer text = ByteBuffer.allocate(MAX_PID_BYTES);
        channel.read(text, 0);
        String pid = new String(text.array(), 0, text.position(), StandardCharsets.UTF_8).strip();
        return pid.isEmpty() ? "" : " (pid " + pid.replaceAll("[^0-9]", "?") + ")";
    }

    /** Whether this process still holds the lock. */
    public boolean isHeld() {
        return lock.isValid() && channel.isOpen();
    }
}
