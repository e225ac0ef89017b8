package holdproxy;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Command line: {@code simhost} runs the module on the simulator's wire. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar holdproxy.jar simhost"
                    + "   (batches of events on standard input, replies on standard output)");
            System.exit(2);
        }
        try {
            FileInputStream in = new FileInputStream(FileDescriptor.in);
            new SimHost(in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (BadInput | IOException e) {
            System.err.println("holdproxy: " + e.getMessage());
            System.exit(1);
        }
    }
}
