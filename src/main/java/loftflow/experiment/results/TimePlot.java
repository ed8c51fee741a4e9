package loftflow.experiment.results;

import java.util.List;
import java.util.function.IntToDoubleFunction;
import loftflow.experiment.scenario.FaultSchedule;

/** Plots of values per second as SVG, with faults in the background. */
final class TimePlot {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int WIDTH = 900;
    private static final int HEIGHT = 150;
    private static final int LEFT_MARGIN = 60;
    private static final int BOTTOM_MARGIN = 20;
    private static final int TOP_MARGIN = 10;
    private static final int MAX_TIME_LABELS = 10;
    private static final double MIN_FAULT_WIDTH = 2;

    private final HtmlPage page;
    private final int seconds;
    private final List<FaultSchedule.FaultWindow> faults;

    TimePlot(HtmlPage page, int seconds, List<FaultSchedule.FaultWindow> faults) {
        this.page = page;
        this.seconds = seconds;
        this.faults = faults;
    }

    /** Adds a plot of one series with values from 0 to a maximum. */
    void add(String title, double maximum, IntToDoubleFunction values) {
        begin(title, maximum);
        addCurve(values, maximum, "#2060c0");
        page.line("</svg>");
    }

    /** Adds a plot of a series in front of a reference series. */
    void add(String title, double maximum, IntToDoubleFunction values, IntToDoubleFunction reference) {
        begin(title, maximum);
        addCurve(reference, maximum, "#999");
        addCurve(values, maximum, "#2060c0");
        page.line("</svg>");
    }

    private void begin(String title, double maximum) {
        page.line(
                "<h2>%s</h2><svg class=\"plot\" width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">",
                title, LEFT_MARGIN + WIDTH, HEIGHT + BOTTOM_MARGIN, title);
        faults.forEach(this::addFault);
        page.line(
                "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#888\"/>",
                LEFT_MARGIN, HEIGHT, LEFT_MARGIN + WIDTH, HEIGHT);
        addValueLabels(maximum);
        addTimeLabels();
    }

    private void addFault(FaultSchedule.FaultWindow window) {
        double from = x(window.fromMicros() / MICROS_PER_SECOND);
        double to = x(Math.min(seconds, window.untilMicros() / MICROS_PER_SECOND));
        page.line(
                "<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" fill=\"#f6d5c8\" fill-opacity=\"0.6\">"
                        + "<title>%s</title></rect>",
                from,
                Math.max(MIN_FAULT_WIDTH, to - from),
                HEIGHT,
                window.failure().kind().code());
    }

    private void addValueLabels(double maximum) {
        for (int half = 0; half <= 2; half++) {
            double value = maximum * half / 2;
            page.line(
                    "<text x=\"%d\" y=\"%d\" font-size=\"11\" text-anchor=\"end\">" + (value < 1_000 ? "%.3g" : "%.0f")
                            + "</text>",
                    LEFT_MARGIN - 6,
                    HEIGHT - half * (HEIGHT - TOP_MARGIN) / 2,
                    value);
        }
    }

    private void addTimeLabels() {
        for (int second = 0; second < seconds; second += Math.max(1, seconds / MAX_TIME_LABELS)) {
            page.line("<text x=\"%.1f\" y=\"%d\" font-size=\"11\">%d s</text>", x(second), HEIGHT + 15, second);
        }
    }

    private void addCurve(IntToDoubleFunction values, double maximum, String colour) {
        page.add("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"", colour);
        for (int second = 0; second < seconds; second++) {
            double y = HEIGHT - values.applyAsDouble(second) / maximum * (HEIGHT - TOP_MARGIN);
            page.add("%.1f,%.1f ", x(second), y);
        }
        page.line("\"/>");
    }

    private double x(double second) {
        return LEFT_MARGIN + second / Math.max(1, seconds - 1) * WIDTH;
    }
}
