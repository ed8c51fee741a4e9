package loftflow.trace.read;

import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import loftflow.trace.ColumnMapping;
import loftflow.trace.RowFault;
import loftflow.trace.RowFault.BadRowException;

/**
 * Reads times as a zone's clocks show them. In the hour that clocks repeat when daylight saving ends, a time is taken
 * as the
 * first of the two; one in the hour that they leave out is rejected.
 */
public final class ZonedClock implements ColumnMapping.Clock {
    private final DateTimeFormatter pattern;
    private final ZoneId zone;
    private final long begin;

    /**
     * A clock.
     *
     * @param pattern of {@link DateTimeFormatter}
     * @param zone such as {@code America/Chicago}
     * @param begin the time that counts as 0, in the same pattern; null for 1970
     * @throws IllegalArgumentException where one of them makes no sense
     */
    public ZonedClock(String pattern, String zone, String begin) {
        this.pattern = DateTimeFormatter.ofPattern(pattern, Locale.ROOT);
        try {
            this.zone = ZoneId.of(zone);
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("zone: " + e.getMessage(), e);
        }
        try {
            this.begin = begin == null ? 0 : epoch(begin);
        } catch (BadRowException e) {
            throw new IllegalArgumentException(
                    "begin: " + begin + " is " + e.fault().text() + " in this pattern and zone", e);
        }
    }

    @Override
    public long micros(String text) throws BadRowException {
        return epoch(text) - begin;
    }

    private long epoch(String text) throws BadRowException {
        try {
            LocalDateTime local = LocalDateTime.parse(text, pattern);
            List<ZoneOffset> offsets = zone.getRules().getValidOffsets(local);
            if (offsets.isEmpty()) {
                throw new BadRowException(RowFault.SKIPPED_TIME);
            }
            return ChronoUnit.MICROS.between(
                    LocalDateTime.ofEpochSecond(0, 0, ZoneOffset.UTC).atOffset(ZoneOffset.UTC),
                    local.atOffset(offsets.get(0)));
        } catch (DateTimeParseException e) {
            throw new BadRowException(RowFault.BAD_TIME);
        } catch (ArithmeticException e) {
            throw new BadRowException(RowFault.OVERFLOWING_TIME);
        }
    }
}
