package review;

/** Daemon threads for the stand-ins. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits until the time {@link System#nanoTime}. */
    static void sleepUntil(long nanoTime) throws InterruptedException {
        long leftNs = nanoTime - System.nanoTime();
        if (leftNs > 0) {
            Thread.sleep(leftNs / 1_000_000, (int) (leftNs % 1_000_000));
        }
    }
}
