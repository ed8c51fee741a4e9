package loftflow.config.file;

import java.math.BigDecimal;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Spans, sizes and rates as files write them: a number with its unit, such as 1.5s, 64KiB or 20/s. */
public final class Units {
    /** The longest span; anything longer is a slip of the pen, and sums of a few stay far from an overflow. */
    public static final long LONGEST_SPAN = 366L * 24 * 3_600 * 1_000_000;

    private static final long LARGEST_SIZE = 1L << 40;
    private static final double HIGHEST_RATE = 1e6;

    private static final Pattern FORM = Pattern.compile("(\\d{1,18}(?:\\.\\d{1,9})?)\\s*([A-Za-z/]*)");
    private static final Map<String, Long> SPANS = Map.of(
            "us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L, "d", 86_400_000_000L);
    private static final Map<String, Long> SIZES = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);
    /** Calls in an hour, so that every unit is a whole number. */
    private static final Map<String, Long> RATES = Map.of("/s", 3_600L, "/m", 60L, "/h", 1L);

    private Units() {}

    private static BigDecimal number(String text, Map<String, Long> units, String example) {
        Matcher matcher = FORM.matcher(text.strip());
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

    /** Microseconds of a span such as {@code 250ms}. */
    public static long span(String text) {
        BigDecimal micros = number(text, SPANS, "250ms, 1.5s or 2m");
        if (micros.compareTo(BigDecimal.valueOf(LONGEST_SPAN)) > 0) {
            throw new IllegalArgumentException("\"" + text + "\" is longer than 366d");
        }
        return micros.longValue();
    }

    /** Bytes of a size such as {@code 64KiB}. */
    public static long size(String text) {
        BigDecimal bytes = number(text, SIZES, "512B, 64KiB or 3MiB");
        if (bytes.compareTo(BigDecimal.valueOf(LARGEST_SIZE)) > 0) {
            throw new IllegalArgumentException("\"" + text + "\" is larger than 1024GiB");
        }
        return bytes.longValue();
    }

    /** Calls or messages a second of a rate such as {@code 20/s}. */
    public static double rate(String text) {
        double rate = number(text, RATES, "20/s or 90/m").doubleValue() / RATES.get("/s");
        if (rate > HIGHEST_RATE) {
            throw new IllegalArgumentException("\"" + text + "\" is more than 1000000/s");
        }
        return rate;
    }

    /** A span in the largest unit in which it is a whole number. */
    public static String ofSpan(long micros) {
        for (String unit : new String[] {"d", "h", "m", "s", "ms"}) {
            if (micros > 0 && micros % SPANS.get(unit) == 0) {
                return micros / SPANS.get(unit) + unit;
            }
        }
        return micros + "us";
    }

    /** A size in the largest unit in which it is a whole number. */
    public static String ofSize(long bytes) {
        for (String unit : new String[] {"GiB", "MiB", "KiB"}) {
            if (bytes > 0 && bytes % SIZES.get(unit) == 0) {
                return bytes / SIZES.get(unit) + unit;
            }
        }
        return bytes + "B";
    }

    /** A rate with as many digits as it has, up to nine behind the point. */
    public static String ofRate(double rate) {
        BigDecimal digits = new BigDecimal(String.format(Locale.ROOT, "%.9f", rate)).stripTrailingZeros();
        return digits.toPlainString() + "/s";
    }
}
