package loftflow.trace;

/** Why a row is rejected. */
public enum RowFault {
    /** It has fewer or more columns than its form. */
    COLUMNS("a wrong number of columns"),
    /** The first line names columns, and the form has no header. */
    HEADER("a header where none should be"),
    NO_TIME("no time"),
    /** It is no number in the form's unit. */
    BAD_TIME("a time that is no number"),
    /** In the hour that clocks leave out when daylight saving begins. */
    SKIPPED_TIME("a time that its zone's clocks left out"),
    NEGATIVE_TIME("a negative time"),
    /** Before the trace's beginning or after its end, by a value that the form sets by for that. */
    SPECIAL_TIME("a time that stands for before or after the trace"),
    /** Beyond what microseconds in 63 bits hold. */
    OVERFLOWING_TIME("a time beyond all bounds"),
    /** A field that must be there is empty, or no number where one must be. */
    BAD_FIELD("a field that is missing or makes no sense"),
    NUL("a NUL byte"),
    /** Further behind than the window in which rows are sorted. */
    LATE("a time behind the window in which rows are sorted"),
    /** The file breaks off, or can't be unpacked, from here on. */
    TRUNCATED("the file breaks off");

    private final String text;

    RowFault(String text) {
        this.text = text;
    }

    /** In words. */
    public String text() {
        return text;
    }

    /** A row that is rejected. */
    public static final class BadRowException extends Exception {
        private static final long serialVersionUID = 1L;

        private final RowFault fault;

        public BadRowException(RowFault fault) {
            super(fault.text, null, false, false);
            this.fault = fault;
        }

        /** Why. */
        public RowFault fault() {
            return fault;
        }
    }
}
