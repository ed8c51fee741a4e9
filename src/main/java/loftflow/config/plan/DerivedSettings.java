package loftflow.config.plan;

import java.util.function.Function;
import loftflow.config.schema.SettingLocation;
import loftflow.config.schema.TableReader;

/**
 * What one relay runs by, beyond what was declared: worked out by {@link Planner} or read from a relay file. Spans are
 * in microseconds, sizes in bytes.
 *
 * @param at where a figure stands, by its key, for findings
 */
public record DerivedSettings(
        Function<String, SettingLocation> at,
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
    public static DerivedSettings of(TableReader top) {
        TableReader calls = top.table("calls");
        TableReader rules = top.table("rules");
        return new DerivedSettings(
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
