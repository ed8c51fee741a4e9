package loftflow.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

/**
 * Responses that some HTTP parsers tolerate and others reject, and well-formed responses with other bytes before or
 * after them. Each has the status 200, or bytes that could be mistaken for it, and the body of a successful delivery.
 */
enum MalformedResponse {
    // ---- header sections
    LINE_WITHOUT_COLON(Delivers.SINGLE_ONLY, head("no colon here", "Content-Length: {length}") + "{body}"),
    SPACE_IN_NAME(Delivers.SINGLE_ONLY, head("X A: 1", "Content-Length: {length}") + "{body}"),
    SPACE_BEHIND_NAME(Delivers.SINGLE_ONLY, head("Content-Length : {length}") + "{body}"),
    EMPTY_NAME(Delivers.SINGLE_ONLY, head(": 1", "Content-Length: {length}") + "{body}"),
    FOLDED_LINE(Delivers.SINGLE_ONLY, head("X-A: 1", " folded", "Content-Length: {length}") + "{body}"),
    FOLDED_LENGTH(Delivers.SINGLE_ONLY, head("Content-Length:", " {length}") + "{body}"),
    CONTROL_CHARACTER(Delivers.SINGLE_ONLY, head("X-A: \0", "Content-Length: {length}") + "{body}"),
    BARE_LINE_FEEDS(Delivers.SINGLE_ONLY, "HTTP/1.1 200 OK\nContent-Length: {length}\n\n{body}"),

    // ---- lengths
    TWO_EQUAL_LENGTHS(Delivers.SINGLE_ONLY, head("Content-Length: {length}", "Content-Length: {length}") + "{body}"),
    TWO_DIFFERENT_LENGTHS(Delivers.SINGLE_ONLY, head("Content-Length: {length}", "Content-Length: 1") + "{body}"),
    LIST_OF_LENGTHS(Delivers.SINGLE_ONLY, head("Content-Length: {length}, {length}") + "{body}"),
    SIGNED_LENGTH(Delivers.SINGLE_ONLY, head("Content-Length: +{length}") + "{body}"),
    NEGATIVE_LENGTH(Delivers.SINGLE_ONLY, head("Content-Length: -1") + "{body}"),
    HUGE_LENGTH(Delivers.SINGLE_ONLY, head("Content-Length: 3000000000") + "{body}"),
    EMPTY_LENGTH(Delivers.SINGLE_ONLY, head("Content-Length: ") + "{body}"),

    // ---- transfer codings and chunks
    UNKNOWN_CODING(Delivers.SINGLE_ONLY, head("Transfer-Encoding: x-none") + "{body}", Ending.FIN),
    IDENTITY_CODING(Delivers.SINGLE_ONLY, head("Transfer-Encoding: identity", "Content-Length: {length}") + "{body}"),
    CHUNKED_NOT_LAST(
            Delivers.SINGLE_ONLY, head("Transfer-Encoding: chunked, identity") + "{size}\r\n{body}\r\n0\r\n\r\n"),
    UNKNOWN_THEN_CHUNKED(
            Delivers.SINGLE_ONLY, head("Transfer-Encoding: x-none, chunked") + "{size}\r\n{body}\r\n0\r\n\r\n"),
    CHUNKED_TWICE(
            Delivers.SINGLE_ONLY,
            head("Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + "{size}\r\n{body}\r\n0\r\n\r\n"),
    CHUNKED_WITH_LENGTH(
            Delivers.SINGLE_ONLY,
            head("Transfer-Encoding: chunked", "Content-Length: {length}") + "{size}\r\n{body}\r\n0\r\n\r\n"),
    CHUNK_SIZE_NO_NUMBER(Delivers.SINGLE_ONLY, chunked("zz\r\n{body}\r\n0\r\n\r\n")),
    CHUNK_SIZE_PREFIXED(Delivers.SINGLE_ONLY, chunked("0x{size}\r\n{body}\r\n0\r\n\r\n")),
    CHUNK_SIZE_SIGNED(Delivers.SINGLE_ONLY, chunked("+{size}\r\n{body}\r\n0\r\n\r\n")),
    CHUNK_SIZE_SPACED(Delivers.SINGLE_ONLY, chunked(" {size} \r\n{body}\r\n0\r\n\r\n")),
    CHUNK_SIZE_TOO_SMALL(Delivers.SINGLE_ONLY, chunked("1\r\n{body}\r\n0\r\n\r\n")),
    CHUNK_SIZE_TOO_LARGE(Delivers.SINGLE_ONLY, chunked("ffff\r\n{body}\r\n0\r\n\r\n")),
    CHUNK_WITHOUT_LINE_END(Delivers.SINGLE_ONLY, chunked("{size}\r\n{body}0\r\n\r\n")),
    TRAILER_WITHOUT_COLON(Delivers.SINGLE_ONLY, chunked("{size}\r\n{body}\r\n0\r\nno colon here\r\n\r\n")),

    // ---- status lines
    STATUS_AFTER_TWO_SPACES(Delivers.NOTHING, "HTTP/1.1  200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
    STATUS_AFTER_TAB(Delivers.NOTHING, "HTTP/1.1\t200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
    SPACE_AHEAD_OF_STATUS_LINE(Delivers.NOTHING, " HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
    STATUS_WITHOUT_SPACE_BEHIND(Delivers.NOTHING, "HTTP/1.1 200OK\r\nContent-Length: {length}\r\n\r\n{body}"),
    STATUS_NO_NUMBER(Delivers.NOTHING, "HTTP/1.1 2x0 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
    STATUS_AFTER_REASON(Delivers.NOTHING, "HTTP/1.1 OK 200\r\nContent-Length: {length}\r\n\r\n{body}"),
    STATUS_OF_FOUR_DIGITS(Delivers.NOTHING, "HTTP/1.1 0200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
    NOISE_AHEAD(Delivers.NOTHING, "noise\r\n" + head("Content-Length: {length}") + "{body}"),

    // ---- bodies
    CUT_BY_FIN(Delivers.SINGLE_ONLY, head("Content-Length: {length}") + "{half}", Ending.FIN),
    CUT_BY_RESET(Delivers.SINGLE_ONLY, head("Content-Length: {length}") + "{half}", Ending.RESET),
    CHUNKS_CUT_BY_FIN(Delivers.SINGLE_ONLY, chunked("{size}\r\n{body}\r\n"), Ending.FIN),
    CHUNKS_CUT_BY_RESET(Delivers.SINGLE_ONLY, chunked("{size}\r\n{body}\r\n"), Ending.RESET),
    UNTIL_FIN(Delivers.SINGLE_ONLY, head("X-A: 1") + "{body}", Ending.FIN),
    UNTIL_RESET(Delivers.SINGLE_ONLY, head("X-A: 1") + "{body}", Ending.RESET),
    BODY_TOO_SHORT(Delivers.SINGLE_ONLY, head("Content-Length: {half-length}") + "{half}"),
    BODY_TWICE(
            Delivers.SINGLE_ONLY,
            head("Transfer-Encoding: chunked") + "{size}\r\n{body}\r\n{size}\r\n{body}\r\n0\r\n\r\n"),

    // ---- bytes before and after a well-formed response
    SWITCHING_AHEAD(Delivers.NOTHING, "HTTP/1.1 101 Switching\r\n\r\n" + head("Content-Length: {length}") + "{body}"),
    MALFORMED_INFORMATION_AHEAD(
            Delivers.SINGLE_ONLY,
            "HTTP/1.1 103 Early\r\nno colon here\r\n\r\n" + head("Content-Length: {length}") + "{body}"),
    INFORMATION_AHEAD(
            Delivers.ALL,
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + head("Content-Length: {length}")
                    + "{body}"),
    SECOND_RESPONSE_BEHIND(
            Delivers.ALL,
            head("Content-Length: {length}") + "{body}" + "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
    NOISE_BEHIND(Delivers.ALL, head("Content-Length: {length}") + "{body}" + "\r\nnoise no colon here\r\n\r\n");

    /** The messages that a response delivers by the rules of the host protocol. */
    private enum Delivers {
        NOTHING,
        /** A message sent alone, which the status line with 200 delivers whatever follows it. */
        SINGLE_ONLY,
        /** Also the messages of a batch: the response is well-formed and was written whole. */
        ALL
    }

    /** The state of the connection after the response. */
    private enum Ending {
        KEPT_OPEN,
        FIN,
        RESET
    }

    private static final List<MalformedResponse> ALL = List.of(values());
    private static final String BATCH_SUFFIX = " to a batch";
    private static final String SINGLE_SUFFIX = " to a single message";
    private static final int HEXADECIMAL = 16;
    private static final int MAX_PAUSE_MILLIS = 3;

    private final Delivers delivers;
    private final String template;
    private final Ending ending;

    MalformedResponse(Delivers delivers, String template) {
        this(delivers, template, Ending.KEPT_OPEN);
    }

    MalformedResponse(Delivers delivers, String template, Ending ending) {
        this.delivers = delivers;
        this.template = template;
        this.ending = ending;
    }

    private static String head(String... lines) {
        return "HTTP/1.1 200 OK\r\n" + String.join("\r\n", lines) + "\r\n\r\n";
    }

    private static String chunked(String chunks) {
        return head("Transfer-Encoding: chunked") + chunks;
    }

    /** Selects a response by a random number, which must not be negative. */
    static MalformedResponse of(int drawn) {
        return ALL.get(drawn % ALL.size());
    }

    /** Returns the text by which a receipt identifies this response. */
    String nameInReceipt(boolean isBatch) {
        return name() + (isBatch ? BATCH_SUFFIX : SINGLE_SUFFIX);
    }

    /** Returns whether the text of a receipt identifies a malformed response. */
    static boolean isNamedIn(String response) {
        return response.endsWith(BATCH_SUFFIX) || response.endsWith(SINGLE_SUFFIX);
    }

    /** Returns whether the messages that the body reports as delivered count as delivered by this response. */
    boolean delivers(boolean isBatch) {
        return delivers == Delivers.ALL || (delivers == Delivers.SINGLE_ONLY && !isBatch);
    }

    /**
     * Writes the response. Unless it delivers batches, it may be written in two parts, the first of which contains the
     * whole status line.
     *
     * @param body in ASCII
     * @return false if the connection ends with the response
     */
    boolean write(Socket socket, String body, Random random) throws IOException {
        byte[] bytes = bytes(body);
        int partEnd = bytes.length;
        if (delivers != Delivers.ALL && random.nextBoolean()) {
            partEnd = firstLineEnd(bytes) + random.nextInt(bytes.length - firstLineEnd(bytes));
        }
        OutputStream out = socket.getOutputStream();
        out.write(bytes, 0, partEnd);
        if (partEnd < bytes.length) {
            ClientContext.pause(1 + random.nextInt(MAX_PAUSE_MILLIS));
            try {
                out.write(bytes, partEnd, bytes.length - partEnd);
            } catch (IOException e) {
                // The reader has closed the connection after the first part.
                return false;
            }
        }
        if (ending == Ending.RESET) {
            socket.setSoLinger(true, 0);
        }
        return ending == Ending.KEPT_OPEN;
    }

    private static int firstLineEnd(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.US_ASCII);
        return text.indexOf('\n', Math.max(0, text.indexOf("200"))) + 1;
    }

    private byte[] bytes(String body) {
        String half = body.substring(0, body.length() / 2);
        return template.replace("{length}", Integer.toString(body.length()))
                .replace("{half-length}", Integer.toString(half.length()))
                .replace("{size}", Integer.toString(body.length(), HEXADECIMAL))
                .replace("{half}", half)
                .replace("{body}", body)
                .getBytes(StandardCharsets.US_ASCII);
    }
}
