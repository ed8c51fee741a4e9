package loftflow.experiment.scenario;

import java.util.List;
import java.util.stream.Collectors;
import loftflow.config.file.Units;

/** Writes a scenario as a file from which {@link ScenarioReader} reads an equal scenario. */
public final class ScenarioWriter {
    private final StringBuilder text = new StringBuilder();

    private ScenarioWriter() {}

    /** The text of the file. */
    public static String of(Scenario scenario) {
        ScenarioWriter writer = new ScenarioWriter();
        writer.top(scenario);
        writer.fleet(scenario.fleet());
        writer.clients(scenario.clients());
        writer.network(scenario.network());
        scenario.classes().forEach(writer::messageClass);
        scenario.tenants().forEach(writer::tenant);
        scenario.groups().forEach(writer::group);
        scenario.failures().forEach(writer::failure);
        return writer.text.toString();
    }

    private void top(Scenario scenario) {
        plain("format", "1");
        quoted("name", scenario.name());
        quoted("text", scenario.description());
        duration("span", scenario.durationMicros());
        number("load", scenario.loadFactor());
    }

    private void fleet(Scenario.Fleet fleet) {
        table("[fleet]");
        plain("relays", fleet.relays());
        number("skew", fleet.trafficSkew());
        plain("slots", fleet.concurrentCalls());
        plain("messages", fleet.bufferedMessages());
        duration("round", fleet.roundMicros());
        duration("restart", fleet.restartMicros());
    }

    private void clients(Scenario.Clients clients) {
        table("[clients]");
        plain("repeats", clients.maxResubmissions());
        duration("pause", clients.resubmitDelayMicros());
        number("clumped", clients.burstShare());
        plain("clump", clients.burstSize());
        duration("ramp", clients.rampMicros());
        plain("backlog", clients.backlog());
    }

    private void network(Scenario.Network network) {
        table("[network]");
        duration("inside", network.sameZoneMicros());
        duration("across", network.crossZoneMicros());
    }

    private void messageClass(Scenario.MessageClass messageClass) {
        table("[[class]]");
        quoted("name", messageClass.name());
        quoted("repeat", messageClass.idempotency().settingName());
        if (messageClass.keyWindowMicros() > 0) {
            duration("key-window", messageClass.keyWindowMicros());
        }
        quoted("key-scope", messageClass.keysByZone() ? "building" : "all");
        duration("wanted", messageClass.latencyObjectiveMicros());
        duration("deadline", messageClass.deadlineMicros());
        number("worth", messageClass.priorityWeight());
        number("late-worth", messageClass.lateWeight());
        rate("rate", messageClass.ratePerSecond());
        if (messageClass.destinationKinds() != null) {
            names("to", messageClass.destinationKinds());
        }
    }

    private void tenant(Scenario.Tenant tenant) {
        table("[[tenant]]");
        quoted("name", tenant.name());
        number("share", tenant.trafficShare());
        rate("rate", tenant.quotaPerSecond());
    }

    private void group(Scenario.PartnerGroup group) {
        table("[[group]]");
        quoted("name", group.name());
        quoted("kind", group.kind());
        plain("partners", group.partners());
        plain("endpoints", group.endpoints());
        names("buildings", group.zones());
        number("weight", group.trafficWeight());
        number("skew", group.trafficSkew());
        rate("capacity", group.capacityPerSecond());
        rate("limit", group.limitPerSecond());
        plain("told", group.reportsLimit());
        plain("refusals-count", group.countsRejections());
        duration("response", group.responseMicros());
        number("spread", group.responseSigma());
        plain("queue", group.queueLength());
        duration("wait", group.retryAfterMicros());
        plain("batch", group.maxBatchSize());
        plain("routes-apart", group.independentRoutes());
        number("cold-from", group.coldCapacityShare());
        duration("warm-up", group.warmUpMicros());
    }

    private void failure(Scenario.Failure failure) {
        table("[[failure]]");
        quoted("kind", failure.kind().code());
        duration("at", failure.startMicros());
        duration("lasts", failure.durationMicros());
        number("hazard", failure.occurrencesPerHour());
        number("share", failure.affectedShare());
        if (failure.group() != null) {
            quoted("group", failure.group());
        }
        if (failure.zone() != null) {
            quoted("building", failure.zone());
        }
        if (failure.kind().hasSlowdownFactor()) {
            number("factor", failure.slowdownFactor());
        }
        if (failure.kind().hasFraction()) {
            number("part", failure.fraction());
        }
    }

    private void table(String head) {
        text.append('\n').append(head).append('\n');
    }

    private void plain(String key, Object value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private void quoted(String key, String value) {
        plain(key, "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"");
    }

    private void duration(String key, long micros) {
        quoted(key, Units.formatDuration(micros));
    }

    private void rate(String key, double ratePerSecond) {
        quoted(key, Units.formatRate(ratePerSecond));
    }

    private void number(String key, double value) {
        plain(key, Double.toString(value));
    }

    private void names(String key, List<String> names) {
        plain(key, names.stream().map(name -> "\"" + name + "\"").collect(Collectors.joining(", ", "[", "]")));
    }
}
