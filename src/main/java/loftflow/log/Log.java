package loftflow.log;

/**
 * The operators' log: plain lines on standard error, at a bounded rate. A line has the form
 * {@code component: event key=value key=value}. Thread-safe.
 */
public final class Log {
    private static final String PROGRAM_PREFIX = "loftflow: ";
    private static final int MAX_LINE_LENGTH = 300;
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static long currentSecond = Long.MIN_VALUE;
    private static int linesInCurrentSecond;

    private Log() {}

    /**
     * Writes a line, unless {@value #MAX_LINES_PER_SECOND} lines have been written in the current second: peers can
     * cause lines faster than standard error is read, and the caller must not block on it. The text is truncated to
     * {@value #MAX_LINE_LENGTH} characters, and control characters are replaced, so that text from a peer can't start a
     * new line.
     */
    public static void line(String text) {
        if (isAllowed(System.nanoTime() / NANOS_PER_SECOND)) {
            write(text);
        }
    }

    /** Writes a line regardless of the rate limit; for the few lines that operators wait for and no peer can cause. */
    public static void essentialLine(String text) {
        write(text);
    }

    private static void write(String text) {
        String truncated = text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
        System.err.println(PROGRAM_PREFIX + truncated.replaceAll("\\p{Cntrl}", "?"));
    }

    private static synchronized boolean isAllowed(long second) {
        if (second != currentSecond) {
            if (linesInCurrentSecond > MAX_LINES_PER_SECOND) {
                int dropped = linesInCurrentSecond - MAX_LINES_PER_SECOND;
                System.err.println(PROGRAM_PREFIX + "log: lines dropped count=" + dropped);
            }
            currentSecond = second;
            linesInCurrentSecond = 0;
        }
        return ++linesInCurrentSecond <= MAX_LINES_PER_SECOND;
    }
}
