package cacheproxy.cli;

import cacheproxy.control.ControlCodec;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The option {@code --output} and the printing of a command's output. */
class OutputOptions {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = {"-o", "--output"},
            paramLabel = "FORM",
            description = "table (default) or json.")
    private String output = "table";

    /** Whether the output is JSON. Throws {@link CommandFailure} if the option has another value. */
    final boolean json() {
        if (!output.equals("table") && !output.equals("json")) {
            throw new CommandFailure(ExitCode.USAGE, "--output: expected table or json, got " + output);
        }
        return output.equals("json");
    }

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Prints a line of text to standard output. */
    final void printLine(String line) {
        out().println(TerminalText.line(line));
    }

    /** Prints an object to standard output, without the fields of the control channel's protocol. */
    final void printJson(Map<String, Object> object) {
        Map<String, Object> printed = new LinkedHashMap<>(object);
        ReplyFields.removeProtocolFields(printed);
        out().println(TerminalText.json(ControlCodec.encode(printed)));
    }

    /** Prints a line on the command's progress to standard error. */
    final void printProgress(String line) {
        PrintWriter err = spec.commandLine().getErr();
        err.println(TerminalText.line(line));
        err.flush();
    }
}
