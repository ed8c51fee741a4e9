package loftflow.experiment.results;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;
import loftflow.experiment.evaluation.RuleChecker;
import loftflow.experiment.evaluation.ServiceReport;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.Scenario;
import loftflow.experiment.scenario.ScenarioWriter;

/** One run as a page by itself: no script, no font and no picture from elsewhere. */
public final class RunReport {
    private static final long SECOND = 1_000_000;
    private static final int WIDTH = 900;
    private static final int HEIGHT = 150;
    private static final int LEFT = 60;
    private static final int BOTTOM = 20;

    private final HtmlPage page;
    private final Scenario scenario;
    private final int seconds;
    private final FaultSchedule faults;

    private RunReport(Scenario scenario, long seed) {
        this.scenario = scenario;
        page = new HtmlPage(scenario.name() + ", seed " + seed);
        seconds = (int) ((scenario.span() + SECOND - 1) / SECOND);
        faults = FaultSchedule.of(scenario, scenario.layout(), seed);
    }

    /** The page's text. */
    public static String of(
            Scenario scenario, long seed, ServiceReport.Report service, RuleChecker.Found rules, RunHistory history) {
        return new RunReport(scenario, seed).write(service, rules, history);
    }

    private String write(ServiceReport.Report service, RuleChecker.Found rules, RunHistory history) {
        page.line("<p>%s</p>", HtmlPage.plain(scenario.text()));
        page.line(
                "<p><b>Service %.4f</b>: whole run %.4f, worst 10 s %.4f, worst class %.4f, worst tenant %.4f. %d asked, %d delivered,"
                        + " %d refused, %d failed; %.2f attempts a message.</p>",
                service.figure(),
                service.whole(),
                service.worstWindow(),
                service.worstClass(),
                service.worstTenant(),
                service.asked(),
                service.delivered(),
                service.refused(),
                service.failed(),
                service.attempts());
        page.line(
                rules.isClean() ? "<p>No rule was broken.</p>" : "<p class=\"bad\">Rules broken: %s</p>",
                rules.counts());
        page.line(
                "<table><tr><th>class</th><th>asked</th><th>delivered</th><th>refused</th><th>failed</th><th>service</th><th>p50 ms"
                        + "</th><th>p99 ms</th><th>attempts</th></tr>");
        for (ServiceReport.OfClass c : service.classes()) {
            page.line(
                    "<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%.4f</td><td>%.0f</td><td>%.0f</td><td>%.2f</td>"
                            + "</tr>",
                    HtmlPage.plain(c.name()),
                    c.asked(),
                    c.delivered(),
                    c.refused(),
                    c.failed(),
                    c.service(),
                    c.p50(),
                    c.p99(),
                    c.attempts());
        }
        page.line("</table>");
        plots(history);
        failures();
        return page.end();
    }

    private void plots(RunHistory history) {
        double[] asked = new double[seconds];
        double[] delivered = new double[seconds];
        double[] worth = new double[seconds];
        double[] got = new double[seconds];
        double[] latency = new double[seconds];
        double[] calls = new double[seconds];
        for (MessageHistory ask : history.asks()) {
            int second = (int) Math.min(seconds - 1, ask.at() / SECOND);
            Scenario.MessageClass type = scenario.classes().get(ask.type());
            asked[second]++;
            worth[second] += type.worth();
            if (ask.isDelivered()) {
                delivered[second]++;
                got[second] += type.worth() * ServiceReport.left(type, ask.doneAt() - ask.at());
                latency[second] = Math.max(latency[second], (ask.doneAt() - ask.at()) / 1_000.0);
            }
        }
        double[] load = new double[seconds];
        for (RunHistory.Load l : history.loads()) {
            int second = (int) Math.min(seconds - 1, l.from() / SECOND);
            calls[second] += l.calls();
            load[second] = Math.max(load[second], l.calls() > 1 ? l.calls() / l.able() : 0);
        }
        plot(
                "Worth delivered of worth asked, by the second of handing in",
                1,
                s -> worth[s] == 0 ? 1 : got[s] / worth[s],
                null);
        plot("Messages a second: asked (grey), delivered (blue)", max(asked), s -> delivered[s], s -> asked[s]);
        plot("Calls a second at all endpoints", max(calls), s -> calls[s], null);
        plot("Longest time to a delivery, ms", max(latency), s -> latency[s], null);
        plot("Highest load of an endpoint beside what it can do then", Math.max(2.5, max(load)), s -> load[s], s -> 1);
    }

    private static double max(double[] values) {
        return Math.max(1, Arrays.stream(values).max().orElse(1));
    }

    private void plot(String title, double top, IntToDoubleFunction values, IntToDoubleFunction beside) {
        page.line(
                "<h2>%s</h2><svg class=\"plot\" width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">",
                title, LEFT + WIDTH, HEIGHT + BOTTOM, title);
        for (FaultSchedule.Strike strike : faults.strikes()) {
            double from = x(strike.from() / (double) SECOND);
            double to = x(Math.min(seconds, strike.to() / (double) SECOND));
            page.line(
                    "<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"#f6d5c8\" fill-opacity=\"0.6\"><title>%s</title></rect>",
                    from,
                    Math.max(2, to - from),
                    HEIGHT,
                    ScenarioWriter.word(strike.failure().kind()));
        }
        page.line(
                "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#888\"/>", LEFT, HEIGHT, LEFT + WIDTH, HEIGHT);
        for (int part = 0; part <= 2; part++) {
            double value = top * part / 2;
            page.line(
                    "<text x=\"%d\" y=\"%d\" font-size=\"11\" text-anchor=\"end\">" + (value < 1_000 ? "%.3g" : "%.0f")
                            + "</text>",
                    LEFT - 6,
                    HEIGHT - part * (HEIGHT - 10) / 2,
                    value);
        }
        for (int second = 0; second < seconds; second += Math.max(1, seconds / 10)) {
            page.line("<text x=\"%.1f\" y=\"%d\" font-size=\"11\">%d s</text>", x(second), HEIGHT + 15, second);
        }
        if (beside != null) {
            curve(beside, top, "#999");
        }
        curve(values, top, "#2060c0");
        page.line("</svg>");
    }

    private void curve(IntToDoubleFunction values, double top, String colour) {
        page.add("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"", colour);
        for (int second = 0; second < seconds; second++) {
            page.add("%.1f,%.1f ", x(second), HEIGHT - values.applyAsDouble(second) / top * (HEIGHT - 10));
        }
        page.line("\"/>");
    }

    private double x(double second) {
        return LEFT + second / Math.max(1, seconds - 1) * WIDTH;
    }

    private void failures() {
        if (!faults.strikes().isEmpty()) {
            page.line("<h2>What went wrong (red above)</h2><table><tr><th>what</th><th>from s</th><th>to s</th></tr>");
            for (FaultSchedule.Strike s : faults.strikes()) {
                page.line(
                        "<tr><td>%s</td><td>%.1f</td><td>%.1f</td></tr>",
                        ScenarioWriter.word(s.failure().kind()), s.from() / (double) SECOND, s.to() / (double) SECOND);
            }
            page.line("</table>");
        }
    }
}
