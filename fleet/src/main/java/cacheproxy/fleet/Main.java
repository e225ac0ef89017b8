package cacheproxy.fleet;

import cacheproxy.agent.Agent;
import cacheproxy.cli.CacheproxyctlCommand;
import cacheproxy.common.InvalidInputException;
import cacheproxy.demo.DemoDiscovery;
import cacheproxy.demo.DemoNode;
import cacheproxy.replication.node.MemberService;
import cacheproxy.server.ProxyProcess;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Entry point of the fleet programs: {@code agent}, {@code member}, {@code ctl} and the stand-ins of a local site. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 0 ? "" : args[0];
        List<String> rest = Arrays.asList(args).subList(Math.min(1, args.length), args.length);
        switch (command) {
            case "ctl" -> System.exit(CacheproxyctlCommand.run(rest.toArray(new String[0])));
            case "demo-discovery" -> demo(rest, false);
            case "demo-node" -> demo(rest, true);
            case "agent" -> agent(rest);
            case "member" -> member(rest);
            default -> usage();
        }
    }

    private static void agent(List<String> folder) {
        if (folder.size() != 1) {
            usage();
        }
        try {
            Agent.run(Path.of(folder.get(0)));
        } catch (InvalidInputException e) {
            fail(e, ProxyProcess.exitCodeFor(e));
        }
    }

    private static void member(List<String> folder) {
        if (folder.size() != 1) {
            usage();
        }
        try {
            MemberService.run(Path.of(folder.get(0)));
        } catch (InvalidInputException e) {
            fail(e, ProxyProcess.exitCodeFor(e));
        } catch (IOException e) {
            fail(e, 2);
        }
    }

    private static void demo(List<String> arguments, boolean node) {
        if (node && !arguments.isEmpty()) {
            usage();
        }
        try {
            if (node) {
                DemoNode.run(System.getenv());
            } else {
                DemoDiscovery.run(System.getenv(), arguments);
            }
        } catch (InvalidInputException e) {
            fail(e, ProxyProcess.exitCodeFor(e));
        } catch (IOException e) {
            fail(e, 2);
        }
    }

    private static void fail(Exception e, int code) {
        System.err.println("cacheproxy: " + e.getMessage());
        System.exit(code);
    }

    private static void usage() {
        System.err.println("usage: java -jar cacheproxyctl.jar ctl ... | agent FOLDER | member FOLDER | demo-node"
                + " | demo-discovery NAME=ADDRESS ...");
        System.exit(2);
    }
}
