package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;

/**
 * Messages of a trace in place of those that a scenario's rates generate. The trace determines times, classes, tenants
 * and partners; the relay is drawn once for each tenant and partner, as the traffic of one client arrives at one relay.
 */
public final class TraceArrivals {
    /** Messages that fit into the memory of one process. */
    public static final int MAX_MESSAGES = 20_000_000;

    private static final int NO_TENANT = -1;

    private record Flow(int tenant, int partner) {}

    private final Map<String, Integer> classIndices = new HashMap<>();
    private final Map<String, Integer> tenantIndices = new HashMap<>();
    private final DiscreteSampler relays;
    private final Map<Flow, Integer> relayByFlow = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();

    /** Creates an empty replay for a scenario's fleet. */
    public TraceArrivals(Scenario scenario, long seed) {
        scenario.classes().forEach(c -> classIndices.put(c.name(), classIndices.size()));
        scenario.tenants().forEach(t -> tenantIndices.put(t.name(), tenantIndices.size()));
        Scenario.Fleet fleet = scenario.fleet();
        relays = AliasMethodDiscreteSampler.of(
                RandomStreams.of(seed, "homes", 0), Scenario.trafficWeights(fleet.relays(), fleet.trafficSkew()));
    }

    /**
     * Adds a message, which must not be earlier than the one before.
     *
     * @param tenant null where there is none
     * @throws IllegalArgumentException where there are more than {@link #MAX_MESSAGES}
     */
    public void add(long atMicros, String className, String tenant, int partner) {
        if (arrivals.size() >= MAX_MESSAGES) {
            throw new IllegalArgumentException(
                    "more than " + MAX_MESSAGES + " messages: cut the trace with --from and --to");
        }
        int tenantIndex = tenant == null ? NO_TENANT : tenantIndices.get(tenant);
        int relay = relayByFlow.computeIfAbsent(new Flow(tenantIndex, partner), flow -> relays.sample());
        arrivals.add(new Arrival(atMicros, classIndices.get(className), tenantIndex, partner, relay));
    }

    /** The messages in the order of time. */
    public Iterator<Arrival> iterator() {
        return arrivals.iterator();
    }

    public int size() {
        return arrivals.size();
    }

    /** The time of the last message; 0 where there is none. */
    public long lastAtMicros() {
        return arrivals.isEmpty() ? 0 : arrivals.get(arrivals.size() - 1).atMicros();
    }

    /** A scenario with the duration of the replay, so that its figures include no time without load. */
    public Scenario withTraceDuration(Scenario scenario) {
        long durationMicros = lastAtMicros() + 1;
        return scenario.withDurationAndLoad(durationMicros, scenario.loadFactor())
                .withFailures(scenario.failures().stream()
                        .filter(failure -> failure.startMicros() < durationMicros)
                        .toList());
    }
}
