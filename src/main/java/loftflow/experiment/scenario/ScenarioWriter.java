package loftflow.experiment.scenario;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import loftflow.config.file.Units;

/** Writes a scenario as the file that {@link ScenarioReader} reads the same scenario from. */
public final class ScenarioWriter {
    private final StringBuilder text = new StringBuilder();

    private ScenarioWriter() {}

    /** The file's text. */
    public static String of(Scenario s) {
        ScenarioWriter t = new ScenarioWriter();
        t.plain("format", "1");
        t.quoted("name", s.name());
        t.quoted("text", s.text());
        t.span("span", s.span());
        t.number("load", s.load());
        t.table("[fleet]");
        t.plain("relays", "" + s.fleet().relays());
        t.number("skew", s.fleet().skew());
        t.plain("slots", "" + s.fleet().slots());
        t.plain("messages", "" + s.fleet().messages());
        t.span("round", s.fleet().round());
        t.span("restart", s.fleet().restart());
        t.table("[clients]");
        t.plain("repeats", "" + s.clients().repeats());
        t.span("pause", s.clients().pause());
        t.number("clumped", s.clients().clumped());
        t.plain("clump", "" + s.clients().clump());
        t.span("ramp", s.clients().ramp());
        t.plain("backlog", "" + s.clients().backlog());
        t.table("[network]");
        t.span("inside", s.network().inside());
        t.span("across", s.network().across());
        s.classes().forEach(t::messageClass);
        for (Scenario.Tenant tenant : s.tenants()) {
            t.table("[[tenant]]");
            t.quoted("name", tenant.name());
            t.number("share", tenant.share());
            t.rate("rate", tenant.rate());
        }
        s.groups().forEach(t::group);
        s.failures().forEach(t::failure);
        return t.text.toString();
    }

    private void messageClass(Scenario.MessageClass c) {
        table("[[class]]");
        quoted("name", c.name());
        quoted("repeat", c.repeat().settingName());
        if (c.keyWindow() > 0) {
            span("key-window", c.keyWindow());
        }
        quoted("key-scope", c.keysByBuilding() ? "building" : "all");
        span("wanted", c.wanted());
        span("deadline", c.deadline());
        number("worth", c.worth());
        number("late-worth", c.lateWorth());
        rate("rate", c.rate());
        if (c.to() != null) {
            names("to", c.to());
        }
    }

    private void group(Scenario.Group g) {
        table("[[group]]");
        quoted("name", g.name());
        quoted("kind", g.kind());
        plain("partners", "" + g.partners());
        plain("endpoints", "" + g.endpoints());
        names("buildings", g.buildings());
        number("weight", g.weight());
        number("skew", g.skew());
        rate("capacity", g.capacity());
        rate("limit", g.limit());
        plain("told", "" + g.told());
        plain("refusals-count", "" + g.refusalsCount());
        span("response", g.response());
        number("spread", g.spread());
        plain("queue", "" + g.queue());
        span("wait", g.toldWait());
        plain("batch", "" + g.batch());
        plain("routes-apart", "" + g.routesApart());
        number("cold-from", g.coldFrom());
        span("warm-up", g.warmUp());
    }

    private void failure(Scenario.Failure f) {
        table("[[failure]]");
        quoted("kind", word(f.kind()));
        span("at", f.at());
        span("lasts", f.lasts());
        number("hazard", f.hazard());
        number("share", f.share());
        if (f.group() != null) {
            quoted("group", f.group());
        }
        if (f.building() != null) {
            quoted("building", f.building());
        }
        if (f.kind() == Scenario.Kind.SLOW || f.kind() == Scenario.Kind.LEAK) {
            number("factor", f.factor());
        }
        if (f.kind().hasPart()) {
            number("part", f.part());
        }
    }

    /** How a file writes one of a few words. */
    public static String word(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private void table(String head) {
        text.append('\n').append(head).append('\n');
    }

    private void plain(String key, String value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private void quoted(String key, String value) {
        plain(key, "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"");
    }

    private void span(String key, long micros) {
        quoted(key, Units.ofSpan(micros));
    }

    private void rate(String key, double rate) {
        quoted(key, Units.ofRate(rate));
    }

    private void number(String key, double value) {
        plain(key, Double.toString(value));
    }

    private void names(String key, List<String> names) {
        plain(key, names.stream().map(n -> "\"" + n + "\"").collect(Collectors.joining(", ", "[", "]")));
    }
}
