package cacheproxy.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Writes log lines on a separate thread, through a bounded queue. Standard error may be a full pipe that nobody reads:
 * a write on the event loop would then block the whole proxy, and its handling of SIGTERM. If the queue is full, lines
 * are dropped and counted.
 *
 * <p>Any thread may call {@link #accept}, which does not block.
 */
public final class AsyncLogWriter implements Consumer<String> {
    private static final int QUEUE_CAPACITY_LINES = 256;

    private final PrintStream out;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private int droppedLines;
    /** The lines in the queue and the one that is being written. */
    private int unwrittenLines;

    /** Starts the writer, a daemon thread. The caller keeps {@code out} open. */
    public AsyncLogWriter(PrintStream out) {
        this.out = out;
        Thread thread = new Thread(this::writeLines, "log");
        thread.setDaemon(true); // a pipe that stays full must not delay the exit of the process
        thread.start();
    }

    @Override
    public synchronized void accept(String line) {
        if (droppedLines > 0 && queue.remainingCapacity() > 1) {
            queue.add("cacheproxy: " + droppedLines + " log lines dropped: the output was not read in time");
            unwrittenLines++;
            droppedLines = 0;
        }
        if (queue.offer(line)) {
            unwrittenLines++;
        } else {
            droppedLines++;
        }
    }

    private void writeLines() {
        try {
            while (true) {
                out.println(queue.take());
                synchronized (this) {
                    unwrittenLines--;
                    notifyAll();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks until all lines are written, for at most {@code timeoutMs}; not to be called on the event loop. */
    public synchronized void flush(long timeoutMs) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        for (long remainingMs = timeoutMs; unwrittenLines > 0 && remainingMs > 0; ) {
            wait(remainingMs);
            remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
        }
    }
}
