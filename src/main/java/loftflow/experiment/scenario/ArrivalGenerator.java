package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Messages as a scenario's rates ask for them, in the order of time: each comes by itself, or in a clump for one
 * partner. What
 * relays do has no effect on them (an open loop).
 */
public final class ArrivalGenerator implements Iterator<Arrival> {
    private static final double SECOND = 1e6;

    /** Draws of what a message is, and of where it comes in. */
    private static final class Picks {
        private final DiscreteSampler types;
        private final DiscreteSampler tenants;
        private final DiscreteSampler relays;
        /** Partners that each class goes to, by weight. */
        private final List<int[]> reached = new ArrayList<>();

        private final List<DiscreteSampler> partners = new ArrayList<>();

        Picks(Scenario scenario, Scenario.Layout layout, UniformRandomProvider random) {
            types = AliasMethodDiscreteSampler.of(
                    random,
                    scenario.classes().stream()
                            .mapToDouble(Scenario.MessageClass::rate)
                            .toArray());
            tenants = scenario.tenants().isEmpty()
                    ? () -> -1
                    : AliasMethodDiscreteSampler.of(
                            random,
                            scenario.tenants().stream()
                                    .mapToDouble(Scenario.Tenant::share)
                                    .toArray());
            relays = AliasMethodDiscreteSampler.of(
                    random,
                    Scenario.weights(scenario.fleet().relays(), scenario.fleet().skew()));
            for (Scenario.MessageClass type : scenario.classes()) {
                List<Scenario.Partner> to = layout.partners().stream()
                        .filter(p -> type.goesTo(p.group().kind()) && p.weight() > 0)
                        .toList();
                reached.add(to.stream().mapToInt(Scenario.Partner::number).toArray());
                partners.add(AliasMethodDiscreteSampler.of(
                        random,
                        to.stream().mapToDouble(Scenario.Partner::weight).toArray()));
            }
        }

        Arrival draw(long at) {
            int type = types.sample();
            return new Arrival(
                    at,
                    type,
                    tenants.sample(),
                    reached.get(type)[partners.get(type).sample()],
                    relays.sample());
        }
    }

    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final ContinuousSampler gap;
    private final Picks picks;
    /** Of a stream of its own, so that what comes later does not hang on what waits at the beginning. */
    private final Picks backlog;

    private final double clumps;
    private int waiting;
    /** Where it stands on the scale of full rates, and the microsecond that this is. */
    private double full;

    private double at;
    private Arrival next;
    private int left;

    /** The messages of one seed. */
    public ArrivalGenerator(Scenario scenario, Scenario.Layout layout, long seed) {
        this.scenario = scenario;
        random = RandomStreams.of(seed, "arrivals", 0);
        double rate = scenario.classes().stream()
                        .mapToDouble(Scenario.MessageClass::rate)
                        .sum()
                * scenario.load();
        Scenario.Clients clients = scenario.clients();
        double alone = 1 - clients.clumped();
        double together = clients.clumped() / clients.clump();
        // A beginning is one message or a clump: the rate of beginnings keeps the rate of messages.
        clumps = together / (alone + together);
        gap = ZigguratSampler.Exponential.of(random, SECOND / (rate * (alone + together)));
        picks = new Picks(scenario, layout, random);
        backlog = new Picks(scenario, layout, RandomStreams.of(seed, "backlog", 0));
        waiting = clients.backlog();
        begin();
    }

    private void begin() {
        full += gap.sample();
        double ramp = scenario.clients().ramp();
        at = full < ramp / 2 ? Math.sqrt(2 * ramp * full) : full + ramp / 2;
        if (at >= scenario.span()) {
            next = null;
            return;
        }
        next = picks.draw((long) at);
        left = random.nextDouble() < clumps ? scenario.clients().clump() - 1 : 0;
    }

    @Override
    public boolean hasNext() {
        return waiting > 0 || next != null;
    }

    @Override
    public Arrival next() {
        if (waiting > 0) {
            waiting--;
            return backlog.draw(0);
        }
        if (next == null) {
            throw new NoSuchElementException();
        }
        Arrival arrival = next;
        if (left > 0) {
            left--;
            next = new Arrival(
                    arrival.at(), arrival.type(), arrival.tenant(), arrival.partner(), picks.relays.sample());
        } else {
            begin();
        }
        return arrival;
    }
}
