package loftflow.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import loftflow.experiment.design.PairedComparison;
import loftflow.experiment.results.HtmlPage;

/**
 * A comparison as a page by itself: for each figure the effect with its interval, and the pairs, one line from the
 * first side's
 * value to the second's for each seed.
 */
public final class ComparisonReport {
    private static final int WIDTH = 340;
    private static final int HEIGHT = 90;
    private static final int EDGE = 12;

    private final HtmlPage page;

    private ComparisonReport(String name) {
        page = new HtmlPage(name);
    }

    /**
     * The page's text.
     *
     * @param first the side that all others are beside
     * @param sides each other side's figures, by its name
     */
    public static String of(String name, String first, Map<String, List<ExperimentRunner.Compared>> sides) {
        ComparisonReport compared = new ComparisonReport(name);
        sides.forEach((second, figures) -> compared.side(HtmlPage.plain(first), HtmlPage.plain(second), figures));
        return compared.page.end();
    }

    private void side(String first, String second, List<ExperimentRunner.Compared> figures) {
        page.line("<h2>%s beside %s</h2>", second, first);
        page.line(
                "<table><tr><th>figure</th><th>%s</th><th>%s</th><th>effect</th><th>95%% interval</th><th>p</th><th>verdict</th>"
                        + "<th>effect and interval; 0 is the grey line</th><th>pairs, %s to %s</th></tr>",
                first, second, first, second);
        figures.forEach(this::row);
        page.line("</table>");
    }

    private void row(ExperimentRunner.Compared c) {
        PairedComparison v = c.verdict();
        page.line(
                "<tr><td>%s</td><td>%.5g</td><td>%.5g</td><td>%+.5g</td><td>%+.5g to %+.5g</td><td>%.3f</td><td class=\"%s\">%s</td>",
                HtmlPage.plain(c.figure()),
                c.firstMean(),
                c.secondMean(),
                v.effect(),
                v.low(),
                v.high(),
                v.p(),
                v.word().name().toLowerCase(Locale.ROOT),
                v.word());
        interval(c.figure(), v);
        pairs(c);
        page.line("</tr>");
    }

    private void interval(String figure, PairedComparison v) {
        double least = Math.min(0, v.low());
        double most = Math.max(0, v.high());
        page.line(
                "<td><svg width=\"%d\" height=\"24\" role=\"img\" aria-label=\"effect of %s\">",
                WIDTH, HtmlPage.plain(figure));
        double zero = x(0, least, most);
        page.line("<line x1=\"%.1f\" y1=\"0\" x2=\"%.1f\" y2=\"24\" stroke=\"#999\"/>", zero, zero);
        page.line(
                "<line x1=\"%.1f\" y1=\"12\" x2=\"%.1f\" y2=\"12\" stroke=\"#2060c0\" stroke-width=\"3\"/>",
                x(v.low(), least, most), x(v.high(), least, most));
        page.line("<circle cx=\"%.1f\" cy=\"12\" r=\"5\" fill=\"#2060c0\"/></svg></td>", x(v.effect(), least, most));
    }

    private static double x(double value, double least, double most) {
        return most == least ? WIDTH / 2.0 : EDGE + (value - least) / (most - least) * (WIDTH - 2 * EDGE);
    }

    private void pairs(ExperimentRunner.Compared c) {
        double least = Stream.concat(c.first().stream(), c.second().stream())
                .min(Double::compare)
                .orElse(0.0);
        double most = Stream.concat(c.first().stream(), c.second().stream())
                .max(Double::compare)
                .orElse(0.0);
        page.line(
                "<td><svg width=\"120\" height=\"%d\" role=\"img\" aria-label=\"pairs of %s\">",
                HEIGHT, HtmlPage.plain(c.figure()));
        for (int i = 0; i < c.first().size(); i++) {
            page.line(
                    "<line x1=\"15\" y1=\"%.1f\" x2=\"105\" y2=\"%.1f\" stroke=\"#2060c0\" stroke-opacity=\"0.5\"/>",
                    y(c.first().get(i), least, most), y(c.second().get(i), least, most));
        }
        page.line("</svg></td>");
    }

    private static double y(double value, double least, double most) {
        return most == least ? HEIGHT / 2.0 : HEIGHT - EDGE - (value - least) / (most - least) * (HEIGHT - 2 * EDGE);
    }
}
