package loftflow.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

class LogTest {
    @Test
    void rateOfLinesIsLimited() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(bytes, true));
        try {
            for (int i = 0; i < 10_000; i++) {
                Log.line("line " + i);
            }
            Log.essentialLine("serving");
        } finally {
            System.setErr(standardError);
        }
        assertTrue(bytes.toString().lines().count() < 1_000, bytes.toString());
        assertTrue(bytes.toString().contains("serving"), "the essential line was dropped");
    }
}
