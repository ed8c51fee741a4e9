package loftflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.AsciiString;
import java.util.List;
import org.junit.jupiter.api.Test;

class SelectiveHeadersTest {
    private static final SelectiveHeaders.Factory FACTORY =
            SelectiveHeaders.Factory.ofMessages(List.of("X-Call-Id"), true);

    private final SelectiveHeaders headers = (SelectiveHeaders) FACTORY.newHeaders();

    private void add(String name, String value) {
        headers.add(AsciiString.of(name), value);
    }

    @Test
    void knownFieldsAreStoredWhateverTheirCase() {
        add("x-call-id", "m1");
        add("CONTENT-LENGTH", "5");
        assertEquals("m1", headers.get("X-Call-Id"));
        assertEquals("5", headers.get(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** Guards against heads whose fields take many times the bytes that a peer has sent. */
    @Test
    void unknownAndRepeatedFieldsTakeNoMemory() {
        add("x-call-id", "m1");
        add("x-call-id", "m2");
        int storedBytes = headers.storedBytes();
        for (int i = 0; i < 1000; i++) {
            add("a", "");
            add("x-call-id", "m3");
        }
        assertEquals(2, headers.size());
        assertEquals(storedBytes, headers.storedBytes());
        assertEquals(List.of("m1", "m2"), headers.getAll("x-call-id"));
    }

    @Test
    void invalidFieldsAreRejectedThoughTheyAreNotStored() {
        assertThrows(IllegalArgumentException.class, () -> add("a b", "x"));
        assertThrows(IllegalArgumentException.class, () -> add("a", "x\u0000y"));
    }

    @Test
    void hashCoversFieldsThatAreNotStored() {
        SelectiveHeaders other = (SelectiveHeaders) FACTORY.newHeaders();
        add("date", "1");
        other.add(AsciiString.of("date"), "2");
        assertNotEquals(headers.fieldsHash(), other.fieldsHash());
    }

    @Test
    void trailersAreNotStored() {
        SelectiveHeaders trailers =
                (SelectiveHeaders) SelectiveHeaders.Factory.ofTrailers().newHeaders();
        trailers.add(AsciiString.of("connection"), "close");
        assertTrue(trailers.isEmpty());
        assertFalse(trailers.contains("connection"));
    }
}
