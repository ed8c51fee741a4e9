package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes responses, and exposes the status of the awaited response as soon as its status line has been received. The
 * status is valid even where the rest of the head is malformed or never ends.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** The {@link #status} before the status line has been received. */
    static final int STATUS_UNKNOWN = 0;
    /** The {@link #status} where the status line is malformed. */
    static final int STATUS_MALFORMED = -1;

    private static final int MAX_LINE_CHARS = 1024;
    private static final String STATUS_LINE_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?", Pattern.DOTALL);

    private final StringBuilder line = new StringBuilder();
    private int status;
    private boolean isSkippingInformational;

    /** Starts over: the next response on the connection is the awaited one. */
    void awaitResponse() {
        line.setLength(0);
        status = STATUS_UNKNOWN;
        isSkippingInformational = false;
    }

    /** The status in the first line of the awaited response; 1xx responses ahead of it are skipped. */
    int status() {
        return status;
    }

    /** Returns true where bytes of the awaited response, or of a 1xx response ahead of it, have been received. */
    boolean hasBegun() {
        return status != STATUS_UNKNOWN || isSkippingInformational || !line.isEmpty();
    }

    /** Returns true where received bytes remain that belong to no response decoded so far. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        ByteBuf buffer = (ByteBuf) bytes;
        int index = buffer.readerIndex();
        while (index < buffer.writerIndex() && status == STATUS_UNKNOWN) {
            scan((char) (buffer.getByte(index) & 0xff));
            index++;
        }
        super.channelRead(ctx, bytes);
    }

    private void scan(char next) {
        if (next == '\n') {
            scanLine();
            return;
        }
        line.append(next);
        // A line longer than the prefix was compared with it when it was as long.
        boolean isPlausible = isSkippingInformational
                || line.length() > STATUS_LINE_PREFIX.length()
                || STATUS_LINE_PREFIX.startsWith(line.toString().strip());
        if (!isPlausible || line.length() > MAX_LINE_CHARS) {
            status = STATUS_MALFORMED;
        }
    }

    private void scanLine() {
        String text = line.toString().strip();
        line.setLength(0);
        if (isSkippingInformational) {
            isSkippingInformational = !text.isEmpty();
        } else if (!text.isEmpty()) {
            parseStatusLine(text);
        }
    }

    private void parseStatusLine(String text) {
        Matcher matcher = STATUS_LINE.matcher(text);
        int code = matcher.matches() ? Integer.parseInt(matcher.group(1)) : STATUS_MALFORMED;
        isSkippingInformational = code / 100 == 1;
        status = isSkippingInformational ? STATUS_UNKNOWN : code;
    }

    /** Retains both headers where a response has two conflicting lengths, so that the reader can reject it. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
