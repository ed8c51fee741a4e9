package loftflow.trace;

import java.util.List;
import java.util.Locale;
import loftflow.trace.RowFault.BadRowException;

/** A form that names which column of a file holds what; for any CSV that has no form of its own. */
public final class ColumnMapping implements RowFormat {
    /** What a time is counted in. */
    public enum Unit {
        US(1),
        MS(1_000),
        S(1_000_000),
        /** Text, read by {@link Clock}. */
        TEXT(0);

        private final long micros;

        Unit(long micros) {
            this.micros = micros;
        }

        /** The word by which it is named. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Reads a time that is written as text. */
    public interface Clock {
        /** Microseconds of the trace's clock. */
        long micros(String text) throws BadRowException;
    }

    /**
     * Columns by name, or by number from 1 where there is no header.
     *
     * @param sort null for none
     * @param weight null for none
     */
    public record Names(boolean header, String time, String owner, String flow, String sort, String weight) {}

    /** The file's first line lacks a column, or a number is none. */
    public static final class NoSuchColumnException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NoSuchColumnException(String name, List<String> header) {
            super("no column " + name + " in " + String.join(",", header));
        }
    }

    private final Names names;
    private final Unit unit;
    private final Clock clock;
    private int width;
    private int time;
    private int owner;
    private int flow;
    private int sort;
    private int weight;

    /** A form; {@code clock} reads times where the unit is {@link Unit#TEXT}. */
    public ColumnMapping(Names names, Unit unit, Clock clock) {
        this.names = names;
        this.unit = unit;
        this.clock = clock;
    }

    @Override
    public Row row(List<String> fields, long line, boolean first) throws BadRowException {
        if (first) {
            width = fields.size();
            time = at(names.time(), fields);
            owner = at(names.owner(), fields);
            flow = at(names.flow(), fields);
            sort = names.sort() == null ? -1 : at(names.sort(), fields);
            weight = names.weight() == null ? -1 : at(names.weight(), fields);
            if (names.header()) {
                return null;
            }
        }
        if (fields.size() != width) {
            throw new BadRowException(RowFault.COLUMNS);
        }
        String text = fields.get(time);
        long micros = unit != Unit.TEXT ? TraceFormat.time(text, unit.micros) : textTime(text);
        return new Row(
                line,
                micros,
                TraceFormat.needed(fields.get(owner)),
                TraceFormat.needed(fields.get(flow)),
                sort < 0 ? "" : fields.get(sort),
                weight < 0 ? 0 : TraceFormat.number(fields.get(weight)));
    }

    private long textTime(String text) throws BadRowException {
        if (text.isBlank()) {
            throw new BadRowException(RowFault.NO_TIME);
        }
        long micros = clock.micros(text.strip());
        if (micros < 0) {
            throw new BadRowException(RowFault.NEGATIVE_TIME);
        }
        return micros;
    }

    private int at(String name, List<String> fields) {
        int index =
                names.header() ? fields.indexOf(name) : name.matches("[1-9]\\d{0,4}") ? Integer.parseInt(name) - 1 : -1;
        if (index < 0 || index >= fields.size()) {
            throw new NoSuchColumnException(name, fields);
        }
        return index;
    }
}
