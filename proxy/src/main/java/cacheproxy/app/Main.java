package cacheproxy.app;

import cacheproxy.common.InvalidInputException;
import cacheproxy.server.ProcessSignals;
import cacheproxy.server.ProxyProcess;
import cacheproxy.simulator.SimHost;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * The command line: {@code serve} runs the proxy; {@code simhost} runs the router alone, with the simulator's protocol
 * on standard input and output.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "simhost" -> simhost();
            default -> {
                System.err.println("usage: java -jar cacheproxy.jar serve | simhost");
                System.exit(2);
            }
        }
    }

    private static void serve() {
        ProcessSignals signals = ProcessSignals.install(); // first, so that no signal is missed during the start
        ProxyProcess.run(System.getenv(), signals);
    }

    private static void simhost() {
        try {
            FileInputStream in = new FileInputStream(FileDescriptor.in);
            new SimHost(in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (InvalidInputException | IOException e) {
            System.err.println("cacheproxy: " + e.getMessage());
            System.exit(1);
        }
    }
}
