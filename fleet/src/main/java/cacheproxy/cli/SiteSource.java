package cacheproxy.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the text of the site file given to a command. */
final class SiteSource {
    private static final Path STANDARD_INPUT = Path.of("-");

    private SiteSource() {}

    /** The file's text, or that of standard input for {@code -}. Throws {@link CommandFailure} if it cannot be read. */
    static String read(Path file) {
        try {
            return file.equals(STANDARD_INPUT)
                    ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new CommandFailure(ExitCode.REFUSED, file + " does not exist");
        } catch (IOException e) {
            throw new CommandFailure(ExitCode.REFUSED, file + " cannot be read: " + e.getMessage());
        }
    }
}
