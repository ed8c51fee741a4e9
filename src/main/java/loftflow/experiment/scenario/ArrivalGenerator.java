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
 * Generates messages at a scenario's rates, in the order of time: a Poisson process of single messages and of bursts
 * for one partner. The load is open-loop: nothing that relays do affects it.
 */
public final class ArrivalGenerator implements Iterator<Arrival> {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Draws the class, tenant, partner and relay of a message. */
    private static final class MessageSampler {
        private final DiscreteSampler classes;
        private final DiscreteSampler tenants;
        private final DiscreteSampler relays;
        /** For each class the numbers of the partners that its messages may be for. */
        private final List<int[]> partnerNumbers = new ArrayList<>();

        private final List<DiscreteSampler> partners = new ArrayList<>();

        MessageSampler(Scenario scenario, Scenario.Layout layout, UniformRandomProvider random) {
            double[] classRates = scenario.classes().stream()
                    .mapToDouble(Scenario.MessageClass::ratePerSecond)
                    .toArray();
            double[] tenantShares = scenario.tenants().stream()
                    .mapToDouble(Scenario.Tenant::trafficShare)
                    .toArray();
            Scenario.Fleet fleet = scenario.fleet();
            classes = AliasMethodDiscreteSampler.of(random, classRates);
            tenants = tenantShares.length == 0 ? () -> -1 : AliasMethodDiscreteSampler.of(random, tenantShares);
            relays =
                    AliasMethodDiscreteSampler.of(random, Scenario.trafficWeights(fleet.relays(), fleet.trafficSkew()));
            scenario.classes().forEach(messageClass -> addPartners(messageClass, layout, random));
        }

        private void addPartners(
                Scenario.MessageClass messageClass, Scenario.Layout layout, UniformRandomProvider random) {
            List<Scenario.Partner> candidates = layout.partners().stream()
                    .filter(partner -> messageClass.goesTo(partner.group().kind()) && partner.trafficWeight() > 0)
                    .toList();
            partnerNumbers.add(
                    candidates.stream().mapToInt(Scenario.Partner::number).toArray());
            partners.add(AliasMethodDiscreteSampler.of(
                    random,
                    candidates.stream()
                            .mapToDouble(Scenario.Partner::trafficWeight)
                            .toArray()));
        }

        Arrival draw(long atMicros) {
            int classIndex = classes.sample();
            return new Arrival(
                    atMicros,
                    classIndex,
                    tenants.sample(),
                    partnerNumbers.get(classIndex)[partners.get(classIndex).sample()],
                    relays.sample());
        }
    }

    private final Scenario scenario;
    private final UniformRandomProvider random;
    private final ContinuousSampler interarrival;
    private final MessageSampler sampler;
    /** Has a random stream of its own, so that the size of the backlog does not change later messages. */
    private final MessageSampler backlogSampler;

    private final double burstProbability;
    private int backlogRemaining;
    /** The time at which the same number of messages would have arrived without a ramp. */
    private double fullRateMicros;

    private double atMicros;
    /** Null at the end. */
    private Arrival next;

    private int burstRemaining;

    /** Generates the messages of one seed. */
    public ArrivalGenerator(Scenario scenario, Scenario.Layout layout, long seed) {
        this.scenario = scenario;
        random = RandomStreams.of(seed, "arrivals", 0);
        Scenario.Clients clients = scenario.clients();
        // A burst counts as one event: the rate of events is reduced so that the rate of messages stays as configured.
        double singlesPerMessage = 1 - clients.burstShare();
        double burstsPerMessage = clients.burstShare() / clients.burstSize();
        double eventsPerMessage = singlesPerMessage + burstsPerMessage;
        burstProbability = burstsPerMessage / eventsPerMessage;
        interarrival = ZigguratSampler.Exponential.of(
                random, MICROS_PER_SECOND / (scenario.ratePerSecond() * eventsPerMessage));
        sampler = new MessageSampler(scenario, layout, random);
        backlogSampler = new MessageSampler(scenario, layout, RandomStreams.of(seed, "backlog", 0));
        backlogRemaining = clients.backlog();
        advance();
    }

    private void advance() {
        fullRateMicros += interarrival.sample();
        double rampMicros = scenario.clients().rampMicros();
        atMicros = fullRateMicros < rampMicros / 2
                ? Math.sqrt(2 * rampMicros * fullRateMicros)
                : fullRateMicros + rampMicros / 2;
        if (atMicros >= scenario.durationMicros()) {
            next = null;
            return;
        }
        next = sampler.draw((long) atMicros);
        boolean isBurst = random.nextDouble() < burstProbability;
        burstRemaining = isBurst ? scenario.clients().burstSize() - 1 : 0;
    }

    @Override
    public boolean hasNext() {
        return backlogRemaining > 0 || next != null;
    }

    @Override
    public Arrival next() {
        if (backlogRemaining > 0) {
            backlogRemaining--;
            return backlogSampler.draw(0);
        }
        if (next == null) {
            throw new NoSuchElementException();
        }
        Arrival arrival = next;
        if (burstRemaining > 0) {
            burstRemaining--;
            next = new Arrival(
                    arrival.atMicros(),
                    arrival.classIndex(),
                    arrival.tenant(),
                    arrival.partner(),
                    sampler.relays.sample());
        } else {
            advance();
        }
        return arrival;
    }
}
