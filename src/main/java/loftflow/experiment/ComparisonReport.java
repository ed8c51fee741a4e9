package loftflow.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.results.HtmlPage;

/**
 * The HTML report of a comparison: for each figure the effect with its interval, and for each seed a line from the
 * first side's value to the second's.
 */
public final class ComparisonReport {
    private static final int INTERVAL_WIDTH = 340;
    private static final int PAIRS_HEIGHT = 90;
    private static final int MARGIN = 12;

    private final HtmlPage page;

    private ComparisonReport(String name) {
        page = new HtmlPage(name);
    }

    /**
     * The text of the page.
     *
     * @param first name of the side that all others are compared with
     * @param sides the comparisons of each other side, by its name
     */
    public static String of(String name, String first, Map<String, List<FigureComparison>> sides) {
        ComparisonReport report = new ComparisonReport(name);
        sides.forEach((second, figures) -> report.addSide(HtmlPage.escape(first), HtmlPage.escape(second), figures));
        return report.page.finish();
    }

    private void addSide(String first, String second, List<FigureComparison> figures) {
        page.line("<h2>%s beside %s</h2>", second, first);
        page.line(
                "<table><tr><th>figure</th><th>%s</th><th>%s</th><th>effect</th><th>95%% interval</th><th>p</th>"
                        + "<th>verdict</th><th>effect and interval; 0 is the grey line</th>"
                        + "<th>pairs, %s to %s</th></tr>",
                first, second, first, second);
        figures.forEach(this::addRow);
        page.line("</table>");
    }

    private void addRow(FigureComparison comparison) {
        PairedComparison paired = comparison.comparison();
        page.line(
                "<tr><td>%s</td><td>%.5g</td><td>%.5g</td><td>%+.5g</td><td>%+.5g to %+.5g</td><td>%.3f</td>"
                        + "<td class=\"%s\">%s</td>",
                HtmlPage.escape(comparison.figure()),
                comparison.firstMean(),
                comparison.secondMean(),
                paired.effect(),
                paired.lowerBound(),
                paired.upperBound(),
                paired.pValue(),
                paired.verdict().name().toLowerCase(Locale.ROOT),
                paired.verdict());
        addInterval(comparison.figure(), paired);
        addPairs(comparison);
        page.line("</tr>");
    }

    private void addInterval(String figure, PairedComparison comparison) {
        double min = Math.min(0, comparison.lowerBound());
        double max = Math.max(0, comparison.upperBound());
        page.line(
                "<td><svg width=\"%d\" height=\"24\" role=\"img\" aria-label=\"effect of %s\">",
                INTERVAL_WIDTH, HtmlPage.escape(figure));
        double zero = x(0, min, max);
        page.line("<line x1=\"%.1f\" y1=\"0\" x2=\"%.1f\" y2=\"24\" stroke=\"#999\"/>", zero, zero);
        page.line(
                "<line x1=\"%.1f\" y1=\"12\" x2=\"%.1f\" y2=\"12\" stroke=\"#2060c0\" stroke-width=\"3\"/>",
                x(comparison.lowerBound(), min, max), x(comparison.upperBound(), min, max));
        page.line(
                "<circle cx=\"%.1f\" cy=\"12\" r=\"5\" fill=\"#2060c0\"/></svg></td>",
                x(comparison.effect(), min, max));
    }

    private static double x(double value, double min, double max) {
        return max == min ? INTERVAL_WIDTH / 2.0 : MARGIN + (value - min) / (max - min) * (INTERVAL_WIDTH - 2 * MARGIN);
    }

    private void addPairs(FigureComparison comparison) {
        double min = Stream.concat(comparison.first().stream(), comparison.second().stream())
                .min(Double::compare)
                .orElse(0.0);
        double max = Stream.concat(comparison.first().stream(), comparison.second().stream())
                .max(Double::compare)
                .orElse(0.0);
        page.line(
                "<td><svg width=\"120\" height=\"%d\" role=\"img\" aria-label=\"pairs of %s\">",
                PAIRS_HEIGHT, HtmlPage.escape(comparison.figure()));
        for (int i = 0; i < comparison.first().size(); i++) {
            page.line(
                    "<line x1=\"15\" y1=\"%.1f\" x2=\"105\" y2=\"%.1f\" stroke=\"#2060c0\" stroke-opacity=\"0.5\"/>",
                    y(comparison.first().get(i), min, max),
                    y(comparison.second().get(i), min, max));
        }
        page.line("</svg></td>");
    }

    private static double y(double value, double min, double max) {
        return max == min
                ? PAIRS_HEIGHT / 2.0
                : PAIRS_HEIGHT - MARGIN - (value - min) / (max - min) * (PAIRS_HEIGHT - 2 * MARGIN);
    }
}
