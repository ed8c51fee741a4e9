package loftflow.experiment.results;

import java.util.Arrays;
import loftflow.experiment.evaluation.ClassReport;
import loftflow.experiment.evaluation.RuleReport;
import loftflow.experiment.evaluation.ServiceEvaluator;
import loftflow.experiment.evaluation.ServiceReport;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;

/** The HTML report of one run: its figures, plots over time, and the faults. */
public final class RunReport {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final HtmlPage page;
    private final Scenario scenario;
    private final int seconds;
    private final FaultSchedule faults;
    private final TimePlot plot;

    private RunReport(Scenario scenario, long seed) {
        this.scenario = scenario;
        page = new HtmlPage(scenario.name() + ", seed " + seed);
        seconds = (int) ((scenario.durationMicros() + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND);
        faults = FaultSchedule.of(scenario, scenario.layout(), seed);
        plot = new TimePlot(page, seconds, faults.faultWindows());
    }

    /** The text of the page. */
    public static String of(Scenario scenario, long seed, ServiceReport service, RuleReport rules, RunHistory history) {
        RunReport report = new RunReport(scenario, seed);
        report.addSummary(service, rules);
        report.addClasses(service);
        report.addPlots(history);
        report.addFaults();
        return report.page.finish();
    }

    private void addSummary(ServiceReport service, RuleReport rules) {
        page.line("<p>%s</p>", HtmlPage.escape(scenario.description()));
        page.line(
                "<p><b>Service %.4f</b>: whole run %.4f, worst 10 s %.4f, worst class %.4f, worst tenant %.4f."
                        + " %d asked, %d delivered, %d refused, %d failed; %.2f attempts a message.</p>",
                service.score(),
                service.overall(),
                service.worstWindow(),
                service.worstClass(),
                service.worstTenant(),
                service.submitted(),
                service.delivered(),
                service.rejected(),
                service.failed(),
                service.attemptsPerMessage());
        page.line(
                rules.isClean() ? "<p>No rule was broken.</p>" : "<p class=\"bad\">Rules broken: %s</p>",
                rules.counts());
    }

    private void addClasses(ServiceReport service) {
        page.line("<table><tr><th>class</th><th>asked</th><th>delivered</th><th>refused</th><th>failed</th>"
                + "<th>service</th><th>p50 ms</th><th>p99 ms</th><th>attempts</th></tr>");
        for (ClassReport report : service.classes()) {
            page.line(
                    "<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%.4f</td><td>%.0f</td>"
                            + "<td>%.0f</td><td>%.2f</td></tr>",
                    HtmlPage.escape(report.name()),
                    report.submitted(),
                    report.delivered(),
                    report.rejected(),
                    report.failed(),
                    report.score(),
                    report.p50Millis(),
                    report.p99Millis(),
                    report.attemptsPerMessage());
        }
        page.line("</table>");
    }

    private void addPlots(RunHistory history) {
        SecondTotals totals = new SecondTotals();
        history.messages().forEach(totals::add);
        history.endpointLoads().forEach(totals::add);
        plot.add("Worth delivered of worth asked, by the second of handing in", 1, totals::deliveredShare);
        plot.add(
                "Messages a second: asked (grey), delivered (blue)",
                maximum(totals.submitted),
                s -> totals.delivered[s],
                s -> totals.submitted[s]);
        plot.add("Calls a second at all endpoints", maximum(totals.calls), s -> totals.calls[s]);
        plot.add("Longest time to a delivery, ms", maximum(totals.latencyMillis), s -> totals.latencyMillis[s]);
        plot.add(
                "Highest load of an endpoint beside what it can do then",
                Math.max(RuleLimits.STANDARD.collapseLoadFactor(), maximum(totals.load)),
                s -> totals.load[s],
                s -> 1);
    }

    private static double maximum(double[] values) {
        return Math.max(1, Arrays.stream(values).max().orElse(1));
    }

    private void addFaults() {
        if (faults.faultWindows().isEmpty()) {
            return;
        }
        page.line("<h2>What went wrong (red above)</h2><table><tr><th>what</th><th>from s</th><th>to s</th></tr>");
        for (FaultSchedule.FaultWindow window : faults.faultWindows()) {
            page.line(
                    "<tr><td>%s</td><td>%.1f</td><td>%.1f</td></tr>",
                    window.failure().kind().code(),
                    window.fromMicros() / (double) MICROS_PER_SECOND,
                    window.untilMicros() / (double) MICROS_PER_SECOND);
        }
        page.line("</table>");
    }

    /** Totals for each second of the run. Messages count in the second of their first submission. */
    private final class SecondTotals {
        private final double[] submitted = new double[seconds];
        private final double[] delivered = new double[seconds];
        private final double[] submittedValue = new double[seconds];
        private final double[] deliveredValue = new double[seconds];
        private final double[] latencyMillis = new double[seconds];
        private final double[] calls = new double[seconds];
        private final double[] load = new double[seconds];

        private int secondOf(long timeMicros) {
            return (int) Math.min(seconds - 1, timeMicros / MICROS_PER_SECOND);
        }

        void add(MessageHistory message) {
            int second = secondOf(message.submittedAtMicros());
            Scenario.MessageClass messageClass = scenario.classes().get(message.classIndex());
            double value = messageClass.priorityWeight();
            submitted[second]++;
            submittedValue[second] += value;
            if (message.isDelivered()) {
                long elapsedMicros = message.deliveredAtMicros() - message.submittedAtMicros();
                delivered[second]++;
                deliveredValue[second] += value * ServiceEvaluator.remainingValue(messageClass, elapsedMicros);
                latencyMillis[second] = Math.max(latencyMillis[second], elapsedMicros / MICROS_PER_MILLI);
            }
        }

        void add(RunHistory.EndpointLoad endpointLoad) {
            int second = secondOf(endpointLoad.fromMicros());
            double multiple = endpointLoad.calls() > 1 ? endpointLoad.calls() / endpointLoad.capacityPerSecond() : 0;
            calls[second] += endpointLoad.calls();
            load[second] = Math.max(load[second], multiple);
        }

        double deliveredShare(int second) {
            return submittedValue[second] == 0 ? 1 : deliveredValue[second] / submittedValue[second];
        }
    }
}
