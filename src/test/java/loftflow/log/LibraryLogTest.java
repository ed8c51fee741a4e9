package loftflow.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class LibraryLogTest {
    /** A process that logs while it has no file descriptor left. */
    static final class Exhausted {
        private Exhausted() {}

        public static void main(String[] arguments) {
            LibraryLog.install();
            Log.essentialLine("server: serving");
            Logger logger = Logger.getLogger("library");
            IllegalStateException failure = new IllegalStateException("failed");
            List<FileInputStream> open = new ArrayList<>();
            try {
                while (true) {
                    open.add(new FileInputStream("/dev/null"));
                }
            } catch (IOException none) {
                logger.log(Level.WARNING, "a task raised an exception", failure);
                System.out.println("alive with " + (open.isEmpty() ? "no files" : "files"));
            }
        }
    }

    /** Guards against an event loop that ends as a library logs while the process has no descriptor left. */
    @Test
    void libraryMayLogWhileNoDescriptorIsLeft() throws Exception {
        Process process = new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n 60 && exec \"$0\" \"$@\"",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Exhausted.class.getName())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        String lines = "loftflow: server: serving\nloftflow: library: a task raised an exception logger=library"
                + " cause=java.lang.IllegalStateException: failed\n";
        assertEquals(lines + "alive with files\n", output);
    }
}
