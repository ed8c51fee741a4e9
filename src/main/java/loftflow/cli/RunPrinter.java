package loftflow.cli;

import java.io.PrintWriter;
import java.util.Locale;
import loftflow.experiment.RunResult;
import loftflow.experiment.evaluation.ClassReport;
import loftflow.experiment.evaluation.FleetCostReport;
import loftflow.experiment.evaluation.RuleReport;
import loftflow.experiment.evaluation.ServiceReport;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.RunHistory;

/** Prints the results of runs as text. */
final class RunPrinter {
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final PrintWriter out;

    RunPrinter(PrintWriter out) {
        this.out = out;
    }

    /** Prints the figures of a run, the cost for partners, and the violated rules. */
    void print(RunResult result) {
        printService(result);
        printClasses(result.service());
        printPeakLoad(result.service());
        printCallCounts(result.costs());
        printCompletions(result.costs(), result.history());
        printRules(result.rules());
    }

    private void printService(RunResult result) {
        ServiceReport service = result.service();
        out.println(String.format(
                Locale.ROOT,
                "%s, seed %d: service %.4f (whole %.4f, worst 10 s %.4f, worst class %.4f, worst tenant" + " %.4f)",
                result.scenario().name(),
                result.seed(),
                service.score(),
                service.overall(),
                service.worstWindow(),
                service.worstClass(),
                service.worstTenant()));
    }

    private void printClasses(ServiceReport service) {
        out.println(String.format(
                Locale.ROOT,
                "  %-16s %8s %9s %8s %7s %8s %9s %9s %8s",
                "class",
                "asked",
                "delivered",
                "refused",
                "failed",
                "service",
                "p50 ms",
                "p99 ms",
                "attempts"));
        for (ClassReport c : service.classes()) {
            out.println(String.format(
                    Locale.ROOT,
                    "  %-16s %8d %9d %8d %7d %8.4f %9.0f %9.0f %8.2f",
                    c.name(),
                    c.submitted(),
                    c.delivered(),
                    c.rejected(),
                    c.failed(),
                    c.score(),
                    c.p50Millis(),
                    c.p99Millis(),
                    c.attemptsPerMessage()));
        }
    }

    private void printPeakLoad(ServiceReport service) {
        out.println(String.format(
                Locale.ROOT,
                "  highest load of an endpoint in a second: %.2f times what it could do",
                service.peakLoad()));
    }

    private void printCallCounts(FleetCostReport costs) {
        out.println("  all relays together, and for a thousand messages:");
        for (CallCounts.Metric metric : CallCounts.Metric.values()) {
            long total = costs.counts().total(metric);
            if (total > 0) {
                CallCounts.Maximum relay = costs.counts().busiestRelay(metric);
                CallCounts.Maximum endpoint = costs.counts().busiestEndpoint(metric);
                out.println(String.format(
                        Locale.ROOT,
                        "    %-12s %9d %9.1f%s%s",
                        metric.code(),
                        total,
                        costs.perThousand(total),
                        relay.count() == 0 ? "" : "  most by relay " + relay.index() + ": " + relay.count(),
                        endpoint.count() == 0 ? "" : "  most at e" + endpoint.index() + ": " + endpoint.count()));
            }
        }
    }

    private void printCompletions(FleetCostReport costs, RunHistory history) {
        out.println(String.format(
                Locale.ROOT,
                "    refused without an attempt %d, cut off without an answer %d",
                costs.rejectedWithoutAttempt(),
                costs.connectionsLost()));
        out.println(String.format(
                Locale.ROOT,
                "    ends told in time %d, up to 100 ms late %d, up to 300 ms %d, later %d%s",
                costs.completedInTime(),
                costs.lateWithin100Millis(),
                costs.lateWithin300Millis(),
                costs.lateBeyond300Millis(),
                costs.maxLatenessMicros() == 0
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                "; the latest %.0f ms: message %d of relay %d",
                                costs.maxLatenessMicros() / MICROS_PER_MILLI,
                                costs.latestMessage(),
                                history.messages().get(costs.latestMessage()).relay())));
    }

    private void printRules(RuleReport rules) {
        if (rules.isClean()) {
            out.println("  no rule was broken");
        } else {
            out.println("  rules broken: " + rules.counts());
            rules.firstBreaches()
                    .forEach(breach -> out.println("    " + breach.rule() + " at " + breach.atMicros() + " us, message "
                            + breach.message() + ": " + breach.detail()));
        }
    }
}
