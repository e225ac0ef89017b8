package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** What the cases have in common: the folders, the record, the exit code (0 held, 1 broken, 2 could not run). */
abstract class Case {
    private static final long LONGEST_RUN_MS = 115_000;

    Path root;
    Path folder;
    Path temporary;
    Record record;
    boolean trouble;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    static void run(Case test, String[] arguments) throws IOException {
        test.root = Path.of("").toAbsolutePath();
        test.folder = Path.of(arguments[0]).toAbsolutePath();
        test.trouble = !"0".equals(System.getenv("TROUBLE"));
        test.record = new Record(test.folder.resolve("record.txt"));
        test.temporary = Files.createTempDirectory("review");
        Threads.start("watchdog", () -> {
            Thread.sleep(LONGEST_RUN_MS);
            test.record.say("the test took too long");
            test.record.flush();
            System.exit(2);
        });
        int code = 2;
        try {
            test.record.say("with%s the disruption", test.trouble ? "" : "out");
            boolean held = test.play();
            code = held ? 0 : 1;
            test.record.say(held ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Exception e) {
            test.record.say("could not run: %s", e);
        }
        test.record.close();
        deleteAtEnd(test.temporary);
        System.exit(code);
    }

    private static void deleteAtEnd(Path path) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try (Stream<Path> files = Files.walk(path)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                System.err.println("not deleted: " + path);
            }
        }));
    }

    static String freeAddress(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return host + ":" + probe.getLocalPort();
        }
    }

    static String read(String key, String id, String tenant, int waitMs) {
        return "mg " + key + " v " + id + " Pc=phrase-lookup,t=" + tenant + ",d=" + waitMs + "\r\n";
    }

    static String hex(long number) {
        return String.format("%016x", number);
    }

    static String randomKey() {
        return hex(ThreadLocalRandom.current().nextLong());
    }
}
