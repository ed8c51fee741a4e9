package loftflow.log;

/** One plain line on standard error for staff, so many in a second at the most. */
public final class Log {
    private static final int LONGEST = 300;
    private static final int MOST_IN_A_SECOND = 20;
    private static final long SECOND = 1_000_000_000;

    private static long second = Long.MIN_VALUE;
    private static int lines;

    private Log() {}

    /** Writes a line; what a peer sent is cut short and can't break out of its line. */
    public static void line(String text) {
        // Guards against a peer that makes the relay write more than its reader takes.
        if (isAllowed(System.nanoTime() / SECOND)) {
            String flat = text.length() > LONGEST ? text.substring(0, LONGEST) : text;
            System.err.println("loftflow: " + flat.replaceAll("\\p{Cntrl}", "?"));
        }
    }

    private static synchronized boolean isAllowed(long now) {
        if (now != second) {
            if (lines > MOST_IN_A_SECOND) {
                System.err.println("loftflow: " + (lines - MOST_IN_A_SECOND) + " lines left out");
            }
            second = now;
            lines = 0;
        }
        return ++lines <= MOST_IN_A_SECOND;
    }
}
