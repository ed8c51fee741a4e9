package pipitstage.config.plan;

import java.util.function.Function;
import pipitstage.config.schema.Place;
import pipitstage.config.schema.Section;

/**
 * What one relay runs by, beyond what was declared: worked out by {@link Planner} or read from a relay file. Spans are
 * in microseconds, sizes in bytes.
 *
 * @param at where a figure stands, by its key, for findings
 */
public record Figures(
        Function<String, Place> at,
        int messages,
        long round,
        int slots,
        int connections,
        int attempts,
        long connectTimeout,
        long idle,
        boolean cancel,
        boolean probes,
        boolean reports,
        boolean secondCopies,
        int clients,
        int streams,
        long buffer,
        long journal,
        long heap,
        long direct,
        long drainGrace,
        double fallMultiple,
        long fallSpan,
        double coldFrom,
        long warmUp,
        long orderPause) {

    /** Reads the figures of a relay file. */
    public static Figures of(Section top) {
        Section calls = top.table("calls");
        Section rules = top.table("rules");
        return new Figures(
                key -> {
                    int dot = key.indexOf('.');
                    return top.table(key.substring(0, dot)).at(key.substring(dot + 1));
                },
                (int) top.table("buffer").whole("messages"),
                top.table("buffer").whole("round"),
                (int) calls.whole("slots"),
                (int) calls.whole("connections"),
                (int) calls.whole("attempts"),
                calls.whole("connect-timeout"),
                calls.whole("idle"),
                calls.flag("cancel"),
                calls.flag("probes"),
                calls.flag("reports"),
                calls.flag("second-copies"),
                (int) top.table("clients").whole("connections"),
                (int) top.table("clients").whole("streams"),
                top.table("clients").whole("buffer"),
                top.table("journal").whole("limit"),
                top.table("process").whole("heap"),
                top.table("process").whole("direct"),
                rules.whole("drain-grace"),
                rules.number("fall-multiple"),
                rules.whole("fall-span"),
                rules.number("cold-from"),
                rules.whole("warm-up"),
                rules.whole("order-pause"));
    }
}
