package loftflow.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the script with which the deployed command chooses its heap. */
class HeapSizeTest {
    private static final String TOO_SMALL = "loftflow: server: memory limit too small memoryMb=%d leastMb=80\n";

    @TempDir
    Path folder;

    private String outputFor(String configuration) throws IOException, InterruptedException {
        Path file = Files.writeString(folder.resolve("config.json"), configuration);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", ". ./deploy/heap.sh; echo $heap_mib");
        builder.environment().put("EDGE_CONFIG", file.toString());
        // Without a path no other program can be started.
        builder.environment().put("PATH", "");
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        return output;
    }

    /** Guards against a heap that takes more than the memory that the configuration allows. */
    @ParameterizedTest
    @CsvSource({"2048, 72", "192, 72", "132, 72", "128, 68", "96.5, 36", "80, 20"})
    void heapFollowsTheMemoryLimit(String memoryMb, int heapMib) throws Exception {
        assertEquals(
                heapMib + "\n", outputFor("{\"limits\":{\"cores\":1,\"memory_mb\":" + memoryMb + ",\"sockets\":9}}"));
        assertEquals(heapMib + "\n", outputFor("{\n \"limits\": {\n  \"memory_mb\" : " + memoryMb + "\n }\n}\n"));
    }

    @ParameterizedTest
    @CsvSource({"70", "64", "32", "0"})
    void limitThatCannotBeHeldIsReported(int memoryMb) throws Exception {
        String output = outputFor("{\"limits\":{\"memory_mb\":" + memoryMb + "}}");
        assertEquals(TOO_SMALL.formatted(memoryMb) + "16\n", output);
    }

    @Test
    void configurationWithoutAUsableLimitGetsTheDefault() throws Exception {
        assertEquals("68\n", outputFor(""));
        assertEquals("68\n", outputFor("{\"limits\":{\"memory_mb\":null,\"sockets\":1024}}"));
        assertEquals("68\n", outputFor("{\"limits\":{\"memory_mb\":-5}}"));
    }
}
