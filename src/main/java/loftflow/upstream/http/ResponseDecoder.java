package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads answers, and tells what the first line of the awaited one says as soon as that line has come: it holds
 * even where the rest of the head can't be read or never ends.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** What {@link #status} says before the first line has come, and of one that can't be read. */
    static final int UNKNOWN = 0;

    static final int UNREADABLE = -1;
    private static final int LONGEST_LINE = 1024;
    private static final String START = "HTTP/1.";
    private static final Pattern LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: .*)?", Pattern.DOTALL);

    private final StringBuilder line = new StringBuilder();
    private int status;
    private boolean skipping;

    /** Another answer is awaited from now on. */
    void await() {
        line.setLength(0);
        status = UNKNOWN;
        skipping = false;
    }

    /** The status in the first line of the awaited answer; 1xx answers ahead of it don't count. */
    int status() {
        return status;
    }

    /** True where the awaited answer, or a 1xx ahead of it, has begun to come. */
    boolean hasBegun() {
        return status != UNKNOWN || skipping || !line.isEmpty();
    }

    /** True where bytes are left that belong to no answer read so far. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        ByteBuf buffer = (ByteBuf) bytes;
        for (int at = buffer.readerIndex(); at < buffer.writerIndex() && status == UNKNOWN; at++) {
            look((char) (buffer.getByte(at) & 0xff));
        }
        super.channelRead(ctx, bytes);
    }

    private void look(char next) {
        if (next == '\n') {
            String text = line.toString().strip();
            line.setLength(0);
            if (skipping) {
                skipping = !text.isEmpty();
            } else if (!text.isEmpty()) {
                firstLine(text);
            }
            return;
        }
        line.append(next);
        // What is longer than the start was looked at when it was as long.
        boolean started = skipping
                || line.length() > START.length()
                || START.startsWith(line.toString().strip());
        if (!started || line.length() > LONGEST_LINE) {
            status = UNREADABLE;
        }
    }

    private void firstLine(String text) {
        Matcher matcher = LINE.matcher(text);
        int code = matcher.matches() ? Integer.parseInt(matcher.group(1)) : UNREADABLE;
        skipping = code / 100 == 1;
        status = skipping ? UNKNOWN : code;
    }

    /** Guards against two lengths, of which only one can be true: both stay, for the reader to see. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
