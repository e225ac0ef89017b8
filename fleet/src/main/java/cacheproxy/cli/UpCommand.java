package cacheproxy.cli;

import cacheproxy.site.DeclaredInstance;
import cacheproxy.site.SiteFile;
import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code up}. */
@Command(
        name = "up",
        description = "Starts a local agent if none runs, and a site: the local example "
                + "(three proxies, three stand-in cache nodes and discovery) or the one in FILE.")
final class UpCommand extends ToolCommand {
    @Mixin
    private AgentOptions options;

    @Mixin
    private WaitOptions wait;

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "Site file (default: the local example).")
    private Path file;

    @Override
    ExitCode run() throws InterruptedException {
        Path source = file != null ? file : exampleSite();
        SiteFile site = SiteFile.parse(SiteSource.read(source));
        AgentClient agent = options.agent();
        LocalAgent.start(agent);
        agent.call(AgentOperation.APPLY, "site", SiteSource.read(source));
        List<String> names =
                site.instances().stream().map(DeclaredInstance::name).toList();
        agent.call(AgentOperation.START, "names", names);
        ExitCode code = new InstanceWaiter(options, agent, names, InstanceWaiter.Goal.READY).awaitUnlessDisabled(wait);
        if (code == ExitCode.OK) {
            printAddresses(site);
        }
        return code;
    }

    private static Path exampleSite() {
        return Path.of(System.getProperty("cacheproxy.home", "."), "deploy", "local-site.json");
    }

    private void printAddresses(SiteFile site) {
        for (DeclaredInstance instance : site.instances()) {
            options.printLine(instance.name() + " at " + instance.listen());
        }
        site.instances().stream()
                .filter(instance -> instance.program().equals("serve"))
                .findFirst()
                .ifPresent(proxy -> options.out().println(exampleRequest(proxy.listen())));
    }

    /** A shell command for bash that sends one request. */
    private static String exampleRequest(String listen) {
        int colon = listen.lastIndexOf(':');
        return "try: exec 3<> /dev/tcp/" + listen.substring(0, colon) + "/" + listen.substring(colon + 1)
                + " && printf 'mg 5f3a v O1 Pc=phrase-lookup,t=kannur-district,d=500\\r\\n' >&3 && head -2 <&3";
    }
}
