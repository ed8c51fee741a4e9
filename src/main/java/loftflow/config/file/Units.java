package loftflow.config.file;

import java.math.BigDecimal;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations, sizes and rates as files write them: a number with its unit, such as 1.5s, 64KiB or 20/s. */
public final class Units {
    /** The longest duration; anything longer is a typing error, and sums of a few cannot overflow. */
    public static final long MAX_DURATION_MICROS = 366L * 24 * 3_600 * 1_000_000;

    private static final long MAX_SIZE_BYTES = 1L << 40;
    private static final double MAX_RATE_PER_SECOND = 1e6;

    private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("(\\d{1,18}(?:\\.\\d{1,9})?)\\s*([A-Za-z/]*)");
    private static final Map<String, Long> MICROS_BY_UNIT = Map.of(
            "us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L, "d", 86_400_000_000L);
    private static final Map<String, Long> BYTES_BY_UNIT =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);
    /** Calls in an hour, so that every unit is a whole number. */
    private static final Map<String, Long> CALLS_PER_HOUR_BY_UNIT = Map.of("/s", 3_600L, "/m", 60L, "/h", 1L);

    private Units() {}

    private static BigDecimal parse(String text, Map<String, Long> units, String example) {
        Matcher matcher = NUMBER_WITH_UNIT.matcher(text.strip());
        if (!matcher.matches()) {
            throw new IllegalArgumentException("\"" + text + "\" is none: write it like " + example);
        }
        Long unit = units.get(matcher.group(2));
        if (unit == null) {
            String what = matcher.group(2).isEmpty() ? "has no unit" : "has the unknown unit " + matcher.group(2);
            throw new IllegalArgumentException("\"" + text + "\" " + what + ": write it like " + example);
        }
        return new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unit));
    }

    /**
     * Microseconds of a duration such as {@code 250ms}.
     *
     * @throws IllegalArgumentException where the text is no duration of at most 366 days; the message is for operators
     */
    public static long parseDurationMicros(String text) {
        BigDecimal micros = parse(text, MICROS_BY_UNIT, "250ms, 1.5s or 2m");
        if (micros.compareTo(BigDecimal.valueOf(MAX_DURATION_MICROS)) > 0) {
            throw new IllegalArgumentException("\"" + text + "\" is longer than 366d");
        }
        return micros.longValue();
    }

    /**
     * Bytes of a size such as {@code 64KiB}.
     *
     * @throws IllegalArgumentException where the text is no size of at most 1 TiB; the message is for operators
     */
    public static long parseSizeBytes(String text) {
        BigDecimal bytes = parse(text, BYTES_BY_UNIT, "512B, 64KiB or 3MiB");
        if (bytes.compareTo(BigDecimal.valueOf(MAX_SIZE_BYTES)) > 0) {
            throw new IllegalArgumentException("\"" + text + "\" is larger than 1024GiB");
        }
        return bytes.longValue();
    }

    /**
     * Calls or messages a second of a rate such as {@code 20/s}.
     *
     * @throws IllegalArgumentException where the text is no rate of at most 1,000,000/s; the message is for operators
     */
    public static double parseRatePerSecond(String text) {
        double rate =
                parse(text, CALLS_PER_HOUR_BY_UNIT, "20/s or 90/m").doubleValue() / CALLS_PER_HOUR_BY_UNIT.get("/s");
        if (rate > MAX_RATE_PER_SECOND) {
            throw new IllegalArgumentException("\"" + text + "\" is more than 1000000/s");
        }
        return rate;
    }

    /** A duration in the largest unit in which it is a whole number. */
    public static String formatDuration(long micros) {
        for (String unit : new String[] {"d", "h", "m", "s", "ms"}) {
            if (micros > 0 && micros % MICROS_BY_UNIT.get(unit) == 0) {
                return micros / MICROS_BY_UNIT.get(unit) + unit;
            }
        }
        return micros + "us";
    }

    /** A size in the largest unit in which it is a whole number. */
    public static String formatSize(long bytes) {
        for (String unit : new String[] {"GiB", "MiB", "KiB"}) {
            if (bytes > 0 && bytes % BYTES_BY_UNIT.get(unit) == 0) {
                return bytes / BYTES_BY_UNIT.get(unit) + unit;
            }
        }
        return bytes + "B";
    }

    /** A rate with as many digits as it has, up to nine decimals. */
    public static String formatRate(double rate) {
        BigDecimal digits = new BigDecimal(String.format(Locale.ROOT, "%.9f", rate)).stripTrailingZeros();
        return digits.toPlainString() + "/s";
    }
}
