package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;
import loftflow.http.SelectiveHeaders;

/** Computes a number by which equal responses are recognized: the checksums of status, headers and body. */
final class ResponseFingerprint {
    private final Checksum low = new CRC32();
    private final Checksum high = new CRC32C();

    /** Starts with the head of a response. */
    void begin(HttpResponse response) {
        low.reset();
        high.reset();
        ByteBuffer head = ByteBuffer.allocate(Integer.BYTES + Long.BYTES);
        head.putInt(response.status().code());
        head.putLong(((SelectiveHeaders) response.headers()).fieldsHash());
        add(head.flip());
    }

    /** Adds a chunk of the body. */
    void add(ByteBuf chunk) {
        add(chunk.nioBuffer());
    }

    private void add(ByteBuffer bytes) {
        low.update(bytes.duplicate());
        high.update(bytes);
    }

    /** Returns the fingerprint of what was added since the head. */
    long value() {
        return high.getValue() << Integer.SIZE | low.getValue();
    }
}
