package pipitstage.relay;

/** One plain line on standard error for staff. */
final class Log {
    private static final int LONGEST = 300;

    private Log() { }

    /** Writes a line; what a peer sent is cut short and can't break out of its line. */
    static void line(String text) {
        String flat = text.length() > LONGEST ? text.substring(0, LONGEST) : text;
        System.err.println("loftflow: " + flat.replaceAll("\\p{Cntrl}", "?"));
    }
}
