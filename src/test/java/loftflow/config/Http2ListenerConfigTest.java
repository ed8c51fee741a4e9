package loftflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.plan.MachineInspector;
import loftflow.config.tool.CheckedFile;
import loftflow.config.tool.ConfigTool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings of HTTP/2 listeners: errors that are found, figures that are derived, and what a written file contains. */
class Http2ListenerConfigTest {
    private static final String FRONT = "[[front]]\nprotocol = \"http2\"\nlisten = \"127.0.0.1:8081\"\n";

    @TempDir
    Path folder;

    private static String base() throws IOException {
        return Files.readString(Path.of("src/test/resources/config/base.toml"));
    }

    private static List<Finding> findings(String text) {
        return CheckedFile.of("file", text, MachineInspector.UNKNOWN).findings();
    }

    private static String withFront(String more) throws IOException {
        return base().replace("[discovery]", FRONT + more + "\n[discovery]");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "streams = 100 | |",
                "header-list = \"8KiB\" | |",
                "window = \"4MiB\" | |",
                "idle = \"1s\" | |",
                "age = \"1h\" | |",
                "resets = \"5/s\" | |",
                "drain = \"3.9s\" | |",
                "stall = \"1s\" | |",
                "streams = 5000 | front[2].streams | clients.streams",
                "streams = 0 | front[2].streams | from 1 to",
                "header-list = \"1KiB\" | front[2].header-list | 2KiB",
                "window = \"5MiB\" | front[2].window | 4MiB",
                "window = \"32KiB\" | front[2].window | 64KiB",
                "age = \"2s\" | front[2].age | as soon as it has come",
                "drain = \"4s\" | front[2].drain | machine.stop-time",
                "resets = \"0/s\" | front[2].resets | 0.1/s",
                "exchange = \"x\" | front[2].exchange | this front speaks HTTP/2",
                "heartbeat = \"3s\" | front[2].heartbeat | is for AMQP",
                "listen2 = \"x\" | front[2].listen2 | "
            })
    void invalidListenerSettingIsReported(String setting, String key, String reason) throws IOException {
        List<Finding> errors =
                findings(withFront(setting)).stream().filter(Finding::isError).toList();
        if (key == null) {
            assertEquals(List.of(), errors);
        } else {
            assertTrue(
                    errors.stream()
                            .anyMatch(f -> f.key().equals(key)
                                    && f.reason().contains(reason == null ? "" : reason)
                                    && f.line() > 0),
                    key + ": " + errors);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "clients.streams|20000|clients.streams|a fifth of process.heap",
                        "clients.buffer|\"512MiB\"|clients.buffer|a fifth of",
                "clients.buffer|\"128KiB\"|front[2].window|is more than clients.buffer",
                        "clients.streams|50|front[2].streams|clients.streams = 50",
                "buffer.messages|90|front[2].streams|buffer.messages = 90"
            })
    void inconsistentDerivedFigureIsReported(String figure, String value, String key, String reason) throws Exception {
        Path application = Files.writeString(folder.resolve("app.toml"), withFront("streams = 100"));
        String written =
                Files.readString(ConfigTool.write(application, folder, false).file());
        assertEquals(
                List.of(), findings(written).stream().filter(Finding::isError).toList());
        String name = figure.substring(figure.indexOf('.') + 1);
        String section = "[" + figure.substring(0, figure.indexOf('.')) + "]";
        int at = written.indexOf("\n" + name + " = ", written.indexOf("\n" + section));
        String changed =
                written.substring(0, at + 1) + name + " = " + value + written.substring(written.indexOf('\n', at + 1));
        assertTrue(
                findings(changed).stream()
                        .anyMatch(f ->
                                f.isError() && f.key().equals(key) && f.reason().contains(reason)),
                findings(changed).toString());
    }

    @Test
    void httpListenerAcceptsNoHttp2SettingAndListenersNeedDifferentAddresses() throws IOException {
        String text = base().replace(
                        "listen = \"127.0.0.1:8080\"", "listen = \"127.0.0.1:8080\"\nstreams = 5\nidle = \"5s\"");
        assertEquals(
                2,
                findings(text).stream()
                        .filter(f -> f.isError() && f.reason().contains("is for HTTP/2"))
                        .count());
        assertTrue(findings(withFront("").replace("8081", "8080")).stream()
                .anyMatch(f -> f.isError() && f.reason().contains("is taken by the front in line")));
    }

    @Test
    void writtenFileExplainsItsFiguresAndOneWithoutThemIsRead() throws Exception {
        Path application = Files.writeString(folder.resolve("app.toml"), withFront(""));
        String written =
                Files.readString(ConfigTool.write(application, folder, false).file());
        assertTrue(
                written.contains("Here: twice buffer.messages") && written.contains("Here: an eighth of the heap"),
                written);
        String old = written.replaceAll("(?m)^.*HTTP/2: streams that all.*\nstreams = .*\n", "")
                .replaceAll("(?m)^.*HTTP/2: what half-read.*\nbuffer = .*\n", "");
        assertTrue(old.length() < written.length());
        assertEquals(List.of(), findings(old).stream().filter(Finding::isError).toList());
    }
}
