package loftflow.upstream.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Scans the raw bytes of a response's head. It reads the status as soon as the status line has been received, and
 * detects lines that violate the grammar of HTTP/1.1 (RFC 9112) but are accepted by Netty's decoder: malformed status
 * lines and folded field lines.
 */
final class ResponseHeadScanner {
    /** The {@link #status} until the status line has been received. */
    static final int STATUS_UNKNOWN = 0;
    /** The {@link #status} if the status line is malformed. */
    static final int STATUS_MALFORMED = -1;

    private static final int MAX_STATUS_LINE_CHARS = 1024;
    private static final String STATUS_LINE_PREFIX = "HTTP/1.";
    /** The reason phrase may contain no control characters except tabs. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] (\\d{3})(?: [\t\\x20-\\x7e\\x80-\\xff]*)?");

    /** The part of the head to which the next byte belongs. */
    private enum Part {
        STATUS_LINE,
        INFORMATIONAL_FIELDS,
        FIELDS,
        /** The head is complete, or scanning stopped at a malformed status line. */
        END
    }

    private Part part = Part.STATUS_LINE;
    private final StringBuilder statusLine = new StringBuilder();
    private int fieldLineBytes;
    private int status;
    private boolean hasFoldedLine;

    /** Prepares for the next response on the connection. */
    void reset() {
        part = Part.STATUS_LINE;
        statusLine.setLength(0);
        fieldLineBytes = 0;
        status = STATUS_UNKNOWN;
        hasFoldedLine = false;
    }

    /**
     * Returns the status of the response, skipping 1xx responses before it; {@link #STATUS_UNKNOWN} or
     * {@link #STATUS_MALFORMED} if there is none.
     */
    int status() {
        return status;
    }

    /** Returns whether bytes of the response, or of a 1xx response before it, have been received. */
    boolean hasBegun() {
        return part != Part.STATUS_LINE || !statusLine.isEmpty();
    }

    /** Returns whether a malformed line was found in the head, or in the head of a 1xx response before it. */
    boolean isMalformed() {
        return hasFoldedLine || status == STATUS_MALFORMED;
    }

    /** Scans the readable bytes up to the end of the head, without consuming them. */
    void scan(ByteBuf bytes) {
        for (int index = bytes.readerIndex(); index < bytes.writerIndex() && part != Part.END; index++) {
            scan((char) (bytes.getByte(index) & 0xff));
        }
    }

    private void scan(char next) {
        if (part == Part.STATUS_LINE) {
            scanStatusLine(next);
        } else {
            scanFieldLine(next);
        }
    }

    private void scanStatusLine(char next) {
        if (next == '\n') {
            parseStatusLine(withoutCarriageReturn(statusLine.toString()));
            statusLine.setLength(0);
            return;
        }
        statusLine.append(next);
        // A line longer than the prefix was already compared with it.
        boolean isPlausible = statusLine.length() > STATUS_LINE_PREFIX.length()
                || STATUS_LINE_PREFIX.startsWith(withoutCarriageReturn(statusLine.toString()));
        if (!isPlausible || statusLine.length() > MAX_STATUS_LINE_CHARS) {
            end(STATUS_MALFORMED);
        }
    }

    private static String withoutCarriageReturn(String line) {
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }

    private void parseStatusLine(String line) {
        // Empty lines before a status line are ignored.
        if (line.isEmpty()) {
            return;
        }
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            end(STATUS_MALFORMED);
            return;
        }
        int code = Integer.parseInt(matcher.group(1));
        // No other response follows 101 (Switching Protocols).
        boolean isInformational = code / 100 == 1 && code != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        part = isInformational ? Part.INFORMATIONAL_FIELDS : Part.FIELDS;
        status = isInformational ? STATUS_UNKNOWN : code;
    }

    private void end(int finalStatus) {
        status = finalStatus;
        part = Part.END;
    }

    private void scanFieldLine(char next) {
        if (next == '\n') {
            boolean isHeadComplete = fieldLineBytes == 0;
            fieldLineBytes = 0;
            if (isHeadComplete) {
                part = part == Part.FIELDS ? Part.END : Part.STATUS_LINE;
            }
        } else if (next != '\r') {
            hasFoldedLine |= fieldLineBytes == 0 && (next == ' ' || next == '\t');
            fieldLineBytes++;
        }
    }
}
