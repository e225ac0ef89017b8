package cacheproxy.agent;

import cacheproxy.common.InvalidInputException;
import cacheproxy.supervise.UniqueProcessId;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads process information from the proc file system, see proc(5). */
final class ProcFs {
    /** Indexes into the fields of stat that follow the program name: process state, and start time in clock ticks. */
    private static final int STATE_FIELD = 0;

    private static final int START_TIME_FIELD = 19;

    private final Path proc;
    private final String bootId;

    ProcFs(Path proc) {
        this.proc = proc;
        String bootIdText;
        try {
            bootIdText =
                    Files.readString(proc.resolve("sys/kernel/random/boot_id")).strip();
        } catch (IOException e) {
            bootIdText = "unknown";
        }
        bootId = bootIdText;
    }

    /**
     * Checks that the proc file system shows this process under its own pid. Otherwise it is not mounted or belongs to
     * another pid namespace, as in a container: instances would seem to have ended, and unrelated processes could be
     * taken for them.
     */
    void requireOwnProcessVisible(long pid) {
        try {
            String self = Files.readSymbolicLink(proc.resolve("self")).toString();
            if (self.equals(Long.toString(pid)) && identity(pid) != null && !bootId.equals("unknown")) {
                return;
            }
        } catch (IOException | RuntimeException e) {
            // no such link: reported below
        }
        throw new InvalidInputException(
                proc + " does not show this process (pid " + pid + "): it is not mounted, or is "
                        + "that of another pid namespace; an agent needs it to recognise its instances");
    }

    /** Identifies a process; null if it does not exist or is a zombie. */
    UniqueProcessId identity(long pid) {
        String[] fields = fields(pid);
        return fields == null || fields[STATE_FIELD].equals("Z") || fields[STATE_FIELD].equals("X")
                ? null
                : new UniqueProcessId(pid, Long.parseLong(fields[START_TIME_FIELD]), bootId);
    }

    /** Whether the process is stopped, by SIGSTOP or by a debugger. */
    boolean isStopped(long pid) {
        String[] fields = fields(pid);
        return fields != null && (fields[STATE_FIELD].equals("T") || fields[STATE_FIELD].equals("t"));
    }

    private String[] fields(long pid) {
        try {
            String stat =
                    Files.readString(proc.resolve(Long.toString(pid)).resolve("stat"), StandardCharsets.ISO_8859_1);
            // the program name may contain spaces and parentheses, so parse after the last closing parenthesis
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return fields.length > START_TIME_FIELD && fields[START_TIME_FIELD].matches("\\d{1,18}") ? fields : null;
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    boolean isAlive(UniqueProcessId process) {
        return process != null && process.equals(identity(process.pid()));
    }

    /** Finds the process that has this variable in its environment; null if there is none that can be read. */
    UniqueProcessId findByEnvironmentVariable(String variable) {
        byte[] wanted = (variable + "\0").getBytes(StandardCharsets.UTF_8);
        try (DirectoryStream<Path> processes = Files.newDirectoryStream(proc, "[0-9]*")) {
            for (Path directory : processes) {
                try {
                    if (containsVariable(Files.readAllBytes(directory.resolve("environ")), wanted)) {
                        UniqueProcessId process =
                                identity(Long.parseLong(directory.getFileName().toString()));
                        if (process != null) {
                            return process;
                        }
                    }
                } catch (IOException | NumberFormatException e) {
                    // belongs to another user, or has ended meanwhile
                }
            }
        } catch (IOException e) {
            // for example a container without its own /proc: the search falls back to the control socket and the lock
        }
        return null;
    }

    /** Whether the environment contains the variable, at its beginning or after a terminating NUL. */
    private static boolean containsVariable(byte[] environment, byte[] wanted) {
        for (int offset = 0; offset + wanted.length <= environment.length; offset++) {
            if ((offset == 0 || environment[offset - 1] == 0) && matches(environment, offset, wanted)) {
                return true;
            }
        }
        return false;
    }

    private static boolean matches(byte[] environment, int offset, byte[] wanted) {
        for (int i = 0; i < wanted.length; i++) {
            if (environment[offset + i] != wanted[i]) {
                return false;
            }
        }
        return true;
    }
}
