package loftflow.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/**
 * Decodes responses and detects violations of the HTTP/1.1 grammar (RFC 9112) that Netty accepts: a status line with
 * another version or a status code that is not three digits, a field line without a colon or with white space in or
 * after the name, and more than one field that determines the length of the body.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("\\d{3}");

    private boolean hasMalformedLine;
    /** The number of fields that determine the length of the body: Content-Length and Transfer-Encoding. */
    private int framingFieldCount;

    /** Resets the checks for the next response on the connection. */
    public void awaitResponse() {
        hasMalformedLine = false;
        framingFieldCount = 0;
    }

    /**
     * Returns whether the part decoded so far of the awaited response, or of a 1xx response before it, is malformed. A
     * 1xx response has no body, so its framing fields count together with those of the awaited response.
     */
    public boolean isMalformed() {
        return hasMalformedLine || framingFieldCount > 1;
    }

    /** Returns whether received bytes remain that are not part of any decoded response. */
    public boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether the body of a response has no transfer coding or is chunked; all other codings are unknown. */
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
     * Returns the name of a field in a header or trailer section. Netty also ends the name at white space, and then
     * accepts a line without a colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        hasMalformedLine |= line[start + length] != ':';
        AsciiString name = super.splitHeaderName(line, start, length);
        boolean isFraming = name.contentEqualsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH)
                || name.contentEqualsIgnoreCase(HttpHeaderNames.TRANSFER_ENCODING);
        framingFieldCount += isFraming ? 1 : 0;
        return name;
    }

    /** Keeps both fields of a response with Transfer-Encoding and Content-Length; Netty by default drops the latter. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
