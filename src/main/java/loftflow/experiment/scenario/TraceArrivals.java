package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;

/**
 * Messages that a trace is mapped to, in place of what a scenario's rates ask for: the trace says when, and of which
 * class,
 * tenant and partner; the scenario's fleet says at which relay. What is of one tenant and one partner comes in at one
 * relay, as
 * one program's traffic does.
 */
public final class TraceArrivals {
    /** Guards against a trace that no machine holds at once. */
    public static final int MOST = 20_000_000;

    private record Flow(int tenant, int partner) {}

    private final Map<String, Integer> types = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final DiscreteSampler relays;
    private final Map<Flow, Integer> homes = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();

    /** An empty replay at a scenario's fleet. */
    public TraceArrivals(Scenario scenario, long seed) {
        scenario.classes().forEach(c -> types.put(c.name(), types.size()));
        scenario.tenants().forEach(t -> tenants.put(t.name(), tenants.size()));
        relays = AliasMethodDiscreteSampler.of(
                RandomStreams.of(seed, "homes", 0),
                Scenario.weights(scenario.fleet().relays(), scenario.fleet().skew()));
    }

    /**
     * One more message, no earlier than the one before.
     *
     * @param tenant null where there is none
     * @throws IllegalArgumentException where there are too many
     */
    public void add(long at, String type, String tenant, int partner) {
        if (arrivals.size() >= MOST) {
            throw new IllegalArgumentException("more than " + MOST + " messages: cut the trace with --from and --to");
        }
        int of = tenant == null ? -1 : tenants.get(tenant);
        arrivals.add(new Arrival(
                at, types.get(type), of, partner, homes.computeIfAbsent(new Flow(of, partner), f -> relays.sample())));
    }

    /** The messages, from the first on. */
    public Iterator<Arrival> iterator() {
        return arrivals.iterator();
    }

    public int size() {
        return arrivals.size();
    }

    /** The time of the last one; 0 where there is none. */
    public long last() {
        return arrivals.isEmpty() ? 0 : arrivals.get(arrivals.size() - 1).at();
    }

    /**
     * A scenario as long as the replay, so that nothing of its figures speaks of time in which nothing was handed in.
     */
    public Scenario lasting(Scenario scenario) {
        long span = last() + 1;
        return scenario.withSpan(span, scenario.load())
                .withFailures(
                        scenario.failures().stream().filter(f -> f.at() < span).toList());
    }
}
