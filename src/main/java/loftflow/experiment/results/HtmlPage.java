package loftflow.experiment.results;

import java.util.Locale;

/** A page by itself that is being written: no script, no font and no picture from elsewhere. */
public final class HtmlPage {
    private final StringBuilder text = new StringBuilder();

    /** A page that begins with its title. */
    public HtmlPage(String title) {
        line(
                "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>%s</title><style>body{font:14px sans-serif;"
                        + "margin:2em;max-width:1100px;color:#222}table{border-collapse:collapse}td,th{padding:3px 10px;text-align:right;"
                        + "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}svg{display:block}h2{font-size:15px;"
                        + "margin:18px 0 0}.plot{margin:4px 0 18px}.better{color:#070}.bad,.worse{color:#b00}</style></head><body>\n<h1>%s</h1>",
                plain(title), plain(title));
    }

    /** Adds a line. */
    public void line(String form, Object... values) {
        add(form, values).append('\n');
    }

    /** Adds to a line. */
    public StringBuilder add(String form, Object... values) {
        return text.append(String.format(Locale.ROOT, form, values));
    }

    /** Guards against text that would be taken for the page's own. */
    public static String plain(String words) {
        return words.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    /** The whole page, which ends here. */
    public String end() {
        line("</body></html>");
        return text.toString();
    }
}
