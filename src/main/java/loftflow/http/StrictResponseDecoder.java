package loftflow.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/**
 * Decodes responses, and finds the lines that do not follow the grammar of HTTP/1.1 (RFC 9112) although Netty accepts
 * them: status lines with another version or no three digits, field lines without a colon or with white space in or
 * behind the name, and more than one length.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("\\d{3}");

    private boolean hasMalformedLine;
    /** The number of fields that say where the body ends. */
    private int framingFields;

    /** Starts over: the next response on the connection is the awaited one. */
    public void awaitResponse() {
        hasMalformedLine = false;
        framingFields = 0;
    }

    /**
     * Returns true where what has been decoded of the awaited response, or of a 1xx response ahead of it, is malformed.
     * A 1xx response has no body, so a length in it counts as a second one.
     */
    public boolean isMalformed() {
        return hasMalformedLine || framingFields > 1;
    }

    /** Returns true for a response whose body is sent as it is, or in chunks: any other transfer coding is unknown. */
    public static boolean isTransferCodingKnown(HttpResponse response) {
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        return coding == null || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        hasMalformedLine |= !VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches();
        return super.createMessage(statusLine);
    }

    /**
     * The name of a field, in a head or in a trailer. Netty takes white space for its end, and accepts a line without a
     * colon then.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        hasMalformedLine |= line[start + length] != ':';
        AsciiString name = super.splitHeaderName(line, start, length);
        boolean isFraming = name.contentEqualsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH)
                || name.contentEqualsIgnoreCase(HttpHeaderNames.TRANSFER_ENCODING);
        framingFields += isFraming ? 1 : 0;
        return name;
    }

    /** Retains both fields where a response has two conflicting lengths: by default Netty drops one. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
