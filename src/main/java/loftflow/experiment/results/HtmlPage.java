package loftflow.experiment.results;

import java.util.Locale;

/** A self-contained HTML page under construction, without scripts, fonts or images from elsewhere. */
public final class HtmlPage {
    private static final String STYLE = "body{font:14px sans-serif;margin:2em;max-width:1100px;color:#222}"
            + "table{border-collapse:collapse}"
            + "td,th{padding:3px 10px;text-align:right;border-bottom:1px solid #ddd}"
            + "td:first-child,th:first-child{text-align:left}"
            + "svg{display:block}"
            + "h2{font-size:15px;margin:18px 0 0}"
            + ".plot{margin:4px 0 18px}"
            + ".better{color:#070}"
            + ".bad,.worse{color:#b00}";

    private final StringBuilder text = new StringBuilder();

    /** Begins a page with its title. */
    public HtmlPage(String title) {
        line(
                "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>%s</title>"
                        + "<style>%s</style></head><body>\n<h1>%s</h1>",
                escape(title), STYLE, escape(title));
    }

    /** Appends a formatted line. */
    public void line(String format, Object... values) {
        add(format, values).append('\n');
    }

    /** Appends formatted text without a line break. */
    public StringBuilder add(String format, Object... values) {
        return text.append(String.format(Locale.ROOT, format, values));
    }

    /** Escapes text for use in elements and attributes. */
    public static String escape(String plain) {
        return plain.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** Ends the page and returns its text. */
    public String finish() {
        line("</body></html>");
        return text.toString();
    }
}
