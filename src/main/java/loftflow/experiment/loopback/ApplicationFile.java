package loftflow.experiment.loopback;

import java.nio.file.Path;
import java.util.Locale;
import loftflow.config.file.Units;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/** The text of an application file that describes one relay of a scenario's fleet. */
final class ApplicationFile {
    /** File descriptors beside those for calls. */
    static final int BASE_DESCRIPTORS = 4_096;

    private static final double MICROS_PER_SECOND = 1e6;
    /** The declared load fills the buffer to this share. */
    private static final double BUFFER_UTILIZATION = 0.95;
    /** A declared rate must be above 0. */
    private static final double MIN_DECLARED_RATE = 1e-3;

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final int relay;
    private final StringBuilder text = new StringBuilder();

    private ApplicationFile(Scenario scenario, Scenario.Layout layout, int relay) {
        this.scenario = scenario;
        this.layout = layout;
        this.relay = relay;
    }

    /**
     * The text for a relay.
     *
     * @param agent address of the discovery agent
     * @param completionAddress address for completion notices
     * @param stateFolder the folder of its persistent state
     */
    static String of(
            Scenario scenario,
            Scenario.Layout layout,
            int relay,
            String agent,
            String completionAddress,
            Path stateFolder) {
        ApplicationFile file = new ApplicationFile(scenario, layout, relay);
        file.addRelay(agent, completionAddress, stateFolder);
        double declaredShare = file.declaredShare();
        scenario.classes().forEach(messageClass -> file.addClass(messageClass, declaredShare));
        scenario.tenants().forEach(file::addTenant);
        file.addKinds();
        layout.partners().forEach(file::addPartner);
        return file.text.toString();
    }

    private void addRelay(String agent, String completionAddress, Path stateFolder) {
        text.append(String.format(
                Locale.ROOT,
                """
                format = 1
                name = "relay%d"
                [machine]
                memory = "256MiB"
                descriptors = %d
                disk = "64MiB"
                folder = "%s"
                building = "%s"
                [[front]]
                listen = "127.0.0.1:0"
                [discovery]
                agent = "%s"
                notices = "%s"
                [fleet]
                relays = %d
                number = %d
                """,
                relay,
                BASE_DESCRIPTORS,
                stateFolder.toAbsolutePath(),
                scenario.relayZone(relay, layout),
                agent,
                completionAddress,
                scenario.fleet().relays(),
                relay));
    }

    /**
     * The share of the fleet's rates that the file declares for this relay. The configuration tool requires a buffer
     * for every message until its deadline. A scenario may have a smaller buffer, so the file declares no more than
     * fits; a relay itself does not use declared rates.
     */
    private double declaredShare() {
        Scenario.Fleet fleet = scenario.fleet();
        double relayShare = Scenario.trafficWeights(fleet.relays(), fleet.trafficSkew())[relay] * scenario.loadFactor();
        double openMessages = scenario.classes().stream()
                        .mapToDouble(c -> c.ratePerSecond() * c.deadlineMicros() / MICROS_PER_SECOND)
                        .sum()
                * relayShare;
        return relayShare * Math.min(1, fleet.bufferedMessages() * BUFFER_UTILIZATION / openMessages);
    }

    private void addClass(Scenario.MessageClass messageClass, double declaredShare) {
        text.append(String.format(
                Locale.ROOT,
                "[[class]]\nname = \"%s\"\nrepeat = \"%s\"\nkey-scope = \"%s\"\nwanted = \"%s\"\n"
                        + "deadline = \"%s\"\nworth = %s\nlate-worth = %s\npeak-rate = \"%s\"\nbody = \"64B\"\n",
                messageClass.name(),
                messageClass.idempotency().settingName(),
                messageClass.keysByZone() ? "building" : "all",
                Units.formatDuration(messageClass.latencyObjectiveMicros()),
                Units.formatDuration(messageClass.deadlineMicros()),
                messageClass.priorityWeight(),
                messageClass.lateWeight(),
                Units.formatRate(Math.max(MIN_DECLARED_RATE, messageClass.ratePerSecond() * declaredShare))));
        if (messageClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            addQuoted("key-window", Units.formatDuration(messageClass.keyWindowMicros()));
        }
        if (messageClass.destinationKinds() != null) {
            text.append("to = [\"")
                    .append(String.join("\", \"", messageClass.destinationKinds()))
                    .append("\"]\n");
        }
    }

    private void addTenant(Scenario.Tenant tenant) {
        text.append("[[tenant]]\n");
        addQuoted("name", tenant.name());
        addQuoted("rate", Units.formatRate(tenant.quotaPerSecond()));
    }

    private void addKinds() {
        scenario.groups().stream()
                .map(group -> "[[kind]]\nname = \"" + group.kind() + "\"\nbatch = " + group.maxBatchSize()
                        + "\nroutes-apart = " + group.independentRoutes() + "\nidle = \"60s\"\n")
                .distinct()
                .forEach(text::append);
    }

    private void addPartner(Scenario.Partner partner) {
        text.append("[[partner]]\n");
        addQuoted("name", "p" + partner.number());
        text.append("number = ").append(partner.number()).append('\n');
        addQuoted("kind", partner.group().kind());
        addQuoted("response", Units.formatDuration(partner.group().responseMicros()));
    }

    private void addQuoted(String key, String value) {
        text.append(key).append(" = \"").append(value).append("\"\n");
    }
}
