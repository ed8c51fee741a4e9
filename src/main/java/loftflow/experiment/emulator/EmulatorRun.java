package loftflow.experiment.emulator;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Function;
import loftflow.engine.Endpoint;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RandomStreams;
import loftflow.experiment.scenario.RelayPolicySettings;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run of a scenario in virtual time: assembles clients, relays, network and endpoints, and schedules the faults.
 * The same scenario, seed and components give the same history.
 */
public final class EmulatorRun {
    /** The run goes on for this long after the last message can complete. */
    private static final long MARGIN_MICROS = 1_000_000;
    /** A change of the endpoint list reaches each relay within this time. */
    private static final long MAX_DISCOVERY_DELAY_MICROS = 2_000_000;

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final FaultSchedule faults;
    private final VirtualTime time = new VirtualTime();
    private final RunHistory history = new RunHistory();
    private final List<EmulatedEndpoint> endpoints;
    private final List<EmulatedRelay> relays = new ArrayList<>();
    private final EmulatedClients clients;
    private final List<Endpoint> endpointList = new ArrayList<>();
    private final UniformRandomProvider discoveryRandom;
    private long endpointListVersion = 1;

    /**
     * Assembles a run.
     *
     * @param arrivals creates the messages for the scenario's layout, in the order of their times
     * @param components the parts of each relay
     */
    public EmulatorRun(
            Scenario scenario,
            RuleLimits limits,
            long seed,
            Function<Scenario.Layout, Iterator<Arrival>> arrivals,
            RelayComponents components) {
        this.scenario = scenario;
        layout = scenario.layout();
        faults = FaultSchedule.of(scenario, layout, seed);
        clients = new EmulatedClients(scenario, time, history, arrivals.apply(layout), relays);
        discoveryRandom = RandomStreams.of(seed, "news", 0);
        endpoints = EmulatedEndpoint.createAll(layout, limits, faults, history, seed);
        endpoints.forEach(endpoint -> endpointList.add(listed(endpoint.endpoint(), Availability.LISTED)));
        EmulatedNetwork network =
                new EmulatedNetwork(scenario, layout, time, history, clients, endpoints, () -> endpointList);
        for (int i = 0; i < scenario.fleet().relays(); i++) {
            relays.add(new EmulatedRelay(
                    i,
                    time,
                    RelayPolicySettings.of(scenario, i, seed, layout, limits),
                    scenario.fleet().roundMicros(),
                    components,
                    network));
        }
    }

    /** An entry of the endpoint list; it has no address, as the emulated network routes by name. */
    private Endpoint listed(Scenario.Endpoint endpoint, Availability availability) {
        return new Endpoint(
                new EndpointEntry(
                        endpoint.route(),
                        endpoint.partner(),
                        layout.partners().get(endpoint.partner()).group().kind(),
                        endpoint.zone(),
                        availability,
                        0),
                null);
    }

    /** The history of a run, and the number of events, which is the unit of the emulator's speed. */
    public record Outcome(RunHistory history, long events) {}

    /** Runs until the deadline of every message has passed. */
    public Outcome run() {
        relays.forEach(relay -> time.scheduleAt(0, relay::start));
        faults.relayCrashes().forEach(this::schedule);
        faults.endpointDrains().forEach(this::schedule);
        time.scheduleAt(0, clients::scheduleNextArrival);
        long endMicros = scenario.durationMicros() + scenario.settleMicros() + MARGIN_MICROS;
        long previousEndMicros = 0;
        // A long Retry-After may move the deadline of a resubmitted message beyond the usual end of the run.
        while (endMicros > previousEndMicros) {
            time.runUntil(endMicros);
            previousEndMicros = endMicros;
            endMicros = Math.max(endMicros, lastOpenDeadlineMicros() + MARGIN_MICROS);
        }
        return new Outcome(history, time.executedEvents());
    }

    private long lastOpenDeadlineMicros() {
        return history.messages().stream()
                .filter(message -> message.clientOutcome() == MessageHistory.ClientOutcome.ACCEPTED
                        && message.deliveredAtMicros() < 0)
                .mapToLong(MessageHistory::deadlineMicros)
                .max()
                .orElse(0);
    }

    private void schedule(FaultSchedule.RelayCrash crash) {
        EmulatedRelay relay = relays.get(crash.relay());
        time.scheduleAt(crash.atMicros(), () -> {
            if (relay.isUp()) {
                relay.crash();
                history.addDowntime(
                        new RunHistory.RelayDowntime(crash.relay(), crash.atMicros(), crash.restartedAtMicros()));
                clients.onConnectionsLost(crash.relay(), crash.restartedAtMicros());
                time.scheduleAt(crash.restartedAtMicros(), relay::start);
            }
        });
    }

    private void schedule(FaultSchedule.EndpointDrain drain) {
        Scenario.Endpoint endpoint = endpoints.get(drain.endpoint()).endpoint();
        time.scheduleAt(drain.fromMicros(), () -> publish(endpoint, Availability.DRAINING));
        time.scheduleAt(drain.removedAtMicros(), () -> publish(endpoint, Availability.REMOVED));
    }

    /** Changes the endpoint list and notifies each relay after a random delay. */
    private void publish(Scenario.Endpoint endpoint, Availability availability) {
        endpointList.removeIf(listed -> listed.entry().route().equals(endpoint.route()));
        if (availability == Availability.DRAINING) {
            endpointList.add(listed(endpoint, availability));
        }
        endpointListVersion++;
        long version = endpointListVersion;
        for (EmulatedRelay relay : relays) {
            long dueMicros = time.micros() + discoveryRandom.nextLong(MAX_DISCOVERY_DELAY_MICROS);
            time.scheduleAt(faults.discoveryAvailableFrom(dueMicros), () -> {
                if (relay.isUp()) {
                    history.callCounts().count(CallCounts.Metric.ENDPOINT_LISTS, relay.number(), CallCounts.NONE);
                    history.addDrainNotice(
                            new RunHistory.DrainNotice(relay.number(), endpoint.number(), time.micros()));
                    relay.onEndpointChanges(List.of(listed(endpoint, availability)), version);
                }
            });
        }
    }
}
