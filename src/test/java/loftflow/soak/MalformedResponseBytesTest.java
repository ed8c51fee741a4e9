package loftflow.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the bytes of malformed responses and which messages they count as delivered. */
class MalformedResponseBytesTest {
    private static final String FIRST_LINE = "HTTP/1.1 200 OK";

    /** Returns the bytes of a response, written to a connection that is not reset. */
    private static String written(MalformedResponse response, String body, int seed) throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket reader = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
            try (Socket writer = listener.accept()) {
                response.write(writer, body, new Random(seed));
                writer.setSoLinger(false, 0);
            }
            return new String(reader.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void placeholdersAreReplaced() throws IOException {
        assertEquals(
                FIRST_LINE + "\r\nno colon here\r\nContent-Length: 17\r\n\r\n[{\"state\":\"done\"}",
                written(MalformedResponse.LINE_WITHOUT_COLON, "[{\"state\":\"done\"}", 1));
        assertEquals(
                FIRST_LINE + "\r\nTransfer-Encoding: chunked\r\n\r\n0x11\r\n[{\"state\":\"done\"}\r\n0\r\n\r\n",
                written(MalformedResponse.CHUNK_SIZE_PREFIXED, "[{\"state\":\"done\"}", 1));
        assertEquals(FIRST_LINE + "\r\nContent-Length: 4\r\n\r\nab", written(MalformedResponse.CUT_BY_FIN, "abcd", 1));
    }

    @ParameterizedTest
    @EnumSource
    void writingInPartsPreservesAllBytes(MalformedResponse response) throws IOException {
        String expected = written(response, "abcd", 0);
        assertFalse(expected.contains("{"), expected);
        for (int seed = 1; seed < 6; seed++) {
            assertEquals(expected, written(response, "abcd", seed));
        }
    }

    @ParameterizedTest
    @EnumSource
    void statusLineAloneDeliversASingleMessage(MalformedResponse response) throws IOException {
        String text = written(response, "ok", 0);
        boolean isStatusLineValid =
                text.startsWith(FIRST_LINE) || text.matches("(?s)HTTP/1.1 10[23] .*" + FIRST_LINE + ".*");
        assertEquals(isStatusLineValid, response.delivers(false), text);
        assertTrue(response.delivers(false) || !response.delivers(true));
    }

    @Test
    void batchIsDeliveredByAWellFormedResponseOnly() {
        assertTrue(MalformedResponse.NOISE_BEHIND.delivers(true));
        assertTrue(MalformedResponse.SECOND_RESPONSE_BEHIND.delivers(true));
        assertTrue(MalformedResponse.INFORMATION_AHEAD.delivers(true));
        assertFalse(MalformedResponse.LINE_WITHOUT_COLON.delivers(true));
        assertFalse(MalformedResponse.CUT_BY_FIN.delivers(true));
    }

    @Test
    void receiptTextIdentifiesMalformedResponses() {
        assertTrue(MalformedResponse.isNamedIn(MalformedResponse.EMPTY_NAME.nameInReceipt(true)));
        assertTrue(MalformedResponse.isNamedIn(MalformedResponse.EMPTY_NAME.nameInReceipt(false)));
        assertFalse(MalformedResponse.isNamedIn("DELIVER"));
    }
}
