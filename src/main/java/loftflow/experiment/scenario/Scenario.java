package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loftflow.policy.api.Idempotency;

/**
 * What an experiment runs. {@link ScenarioReader} creates scenarios and validates them; {@code with...} methods return
 * a copy with one part replaced.
 *
 * @param durationMicros how long clients submit messages
 * @param loadFactor multiplies every arrival rate
 */
public record Scenario(
        String name,
        String description,
        long durationMicros,
        double loadFactor,
        Fleet fleet,
        Clients clients,
        Network network,
        List<MessageClass> classes,
        List<Tenant> tenants,
        List<PartnerGroup> groups,
        List<Failure> failures) {
    public Scenario {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        groups = List.copyOf(groups);
        failures = List.copyOf(failures);
    }

    /**
     * The relays.
     *
     * @param trafficSkew 0 for the same traffic at each relay; relay n gets a share proportional to
     *     1 / (n + 1) ^ skew
     * @param concurrentCalls concurrent call limit of a relay
     * @param bufferedMessages messages that a relay may store
     * @param roundMicros how long a relay collects events before it decides
     * @param restartMicros time from the crash of a relay until it serves again
     */
    public record Fleet(
            int relays,
            double trafficSkew,
            int concurrentCalls,
            int bufferedMessages,
            long roundMicros,
            long restartMicros) {
        /** The same with another number of relays. */
        public Fleet withRelays(int others) {
            return new Fleet(others, trafficSkew, concurrentCalls, bufferedMessages, roundMicros, restartMicros);
        }

        /** The same with another concurrent call limit. */
        public Fleet withConcurrentCalls(int others) {
            return new Fleet(relays, trafficSkew, others, bufferedMessages, roundMicros, restartMicros);
        }

        /** The same with another number of messages that a relay may store. */
        public Fleet withBufferedMessages(int others) {
            return new Fleet(relays, trafficSkew, concurrentCalls, others, roundMicros, restartMicros);
        }
    }

    /**
     * The clients.
     *
     * @param maxResubmissions how often a rejected message is submitted again
     * @param resubmitDelayMicros delay before that; a longer {@code Retry-After} takes precedence
     * @param burstShare share of the messages that arrive in bursts for one partner
     * @param burstSize messages in a burst
     * @param rampMicros rates rise linearly from 0 to their full value in this time; 0 for full rates at once
     * @param backlog messages that are submitted together when the run begins
     */
    public record Clients(
            int maxResubmissions,
            long resubmitDelayMicros,
            double burstShare,
            int burstSize,
            long rampMicros,
            int backlog) {}

    /** One-way latency between a relay and an endpoint, in the same zone or in another one. */
    public record Network(long sameZoneMicros, long crossZoneMicros) {}

    /**
     * A class of messages.
     *
     * @param keyWindowMicros how long partners remember an idempotency key
     * @param keysByZone whether each zone of a partner remembers keys for itself
     * @param ratePerSecond messages a second at all relays together
     * @param destinationKinds the kinds of partner that messages are for; null for all
     */
    public record MessageClass(
            String name,
            Idempotency idempotency,
            long keyWindowMicros,
            boolean keysByZone,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double priorityWeight,
            double lateWeight,
            double ratePerSecond,
            List<String> destinationKinds) {
        /** True if messages may be for partners of that kind. */
        public boolean goesTo(String kind) {
            return destinationKinds == null || destinationKinds.contains(kind);
        }
    }

    /** A tenant: its share of the traffic, and the rate that is within its quota; 0 for no quota. */
    public record Tenant(String name, double trafficShare, double quotaPerSecond) {}

    /**
     * Partners that are alike.
     *
     * @param trafficWeight weight of the group's traffic among the groups
     * @param trafficSkew skew of the traffic within the group, as for the fleet
     * @param capacityPerSecond calls a second that one endpoint can process
     * @param limitPerSecond rate limit of a partner, or of each endpoint where routes are independent, for all relays
     *     together; 0 for none
     * @param reportsLimit whether responses report the limit
     * @param countsRejections whether rejected calls use up the limit as well
     * @param responseMicros mean service time of a call, which is log-normal
     * @param responseSigma sigma of that distribution
     * @param queueLength calls that may wait at an endpoint
     * @param retryAfterMicros the {@code Retry-After} of a rejection; 0 for none
     * @param maxBatchSize messages that may travel in one call
     * @param independentRoutes whether each endpoint has a limit and outages of its own
     * @param coldCapacityShare share of its capacity with which an endpoint returns from an outage
     * @param warmUpMicros time after an outage until the full capacity is reached
     */
    public record PartnerGroup(
            String name,
            String kind,
            int partners,
            int endpoints,
            List<String> zones,
            double trafficWeight,
            double trafficSkew,
            double capacityPerSecond,
            double limitPerSecond,
            boolean reportsLimit,
            boolean countsRejections,
            long responseMicros,
            double responseSigma,
            int queueLength,
            long retryAfterMicros,
            int maxBatchSize,
            boolean independentRoutes,
            double coldCapacityShare,
            long warmUpMicros) {}

    /**
     * A fault.
     *
     * @param startMicros when it begins; the earliest time for a recurring one
     * @param occurrencesPerHour mean rate at which it recurs, each time elsewhere; 0 for once, at {@code startMicros}
     * @param affectedShare share of the partners or relays that are affected
     * @param group name of the affected group; null for all
     * @param zone the affected zone; null for all
     * @param slowdownFactor by which calls take longer
     * @param fraction of the calls that fail, or of the limit that is left
     */
    public record Failure(
            FailureKind kind,
            long startMicros,
            long durationMicros,
            double occurrencesPerHour,
            double affectedShare,
            String group,
            String zone,
            double slowdownFactor,
            double fraction) {}

    /** An endpoint of a partner; its position in {@link Layout#endpoints} is its number. */
    public record Endpoint(int number, int partner, String zone) {
        /** Its name in endpoint lists. */
        public String route() {
            return "e" + number;
        }
    }

    /** A partner; its position in {@link Layout#partners} is its number. */
    public record Partner(int number, PartnerGroup group, double trafficWeight, List<Endpoint> endpoints) {}

    /** All partners and endpoints, and the zones of the endpoints. */
    public record Layout(List<Partner> partners, List<Endpoint> endpoints, List<String> zones) {}

    /** Expands the groups into single partners and endpoints. */
    public Layout layout() {
        List<Partner> partners = new ArrayList<>();
        List<Endpoint> endpoints = new ArrayList<>();
        Set<String> zones = new LinkedHashSet<>();
        for (PartnerGroup group : groups) {
            double[] weights = trafficWeights(group.partners(), group.trafficSkew());
            for (int i = 0; i < group.partners(); i++) {
                List<Endpoint> own = new ArrayList<>();
                for (int k = 0; k < group.endpoints(); k++) {
                    String zone = group.zones().get((i + k) % group.zones().size());
                    zones.add(zone);
                    own.add(new Endpoint(endpoints.size(), partners.size(), zone));
                    endpoints.add(own.get(k));
                }
                partners.add(new Partner(partners.size(), group, group.trafficWeight() * weights[i], List.copyOf(own)));
            }
        }
        return new Layout(List.copyOf(partners), List.copyOf(endpoints), List.copyOf(zones));
    }

    /** Weights with a sum of 1, the n-th proportional to 1 / (n + 1) ^ skew. */
    public static double[] trafficWeights(int count, double skew) {
        double[] weights = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(i + 1, -skew);
            sum += weights[i];
        }
        for (int i = 0; i < count; i++) {
            weights[i] /= sum;
        }
        return weights;
    }

    /** Messages a second of all classes together at the configured load. */
    public double ratePerSecond() {
        return classes.stream().mapToDouble(MessageClass::ratePerSecond).sum() * loadFactor;
    }

    /** The zone that a relay is in. */
    public String relayZone(int relay, Layout layout) {
        return layout.zones().get(relay % layout.zones().size());
    }

    /** One-way latency between a relay and an endpoint, in microseconds. */
    public long oneWayLatencyMicros(int relay, Endpoint endpoint, Layout layout) {
        return relayZone(relay, layout).equals(endpoint.zone()) ? network.sameZoneMicros() : network.crossZoneMicros();
    }

    /** The time after the end of the load within which every message settles, with its resubmissions. */
    public long settleMicros() {
        long maxDeadlineMicros =
                classes.stream().mapToLong(MessageClass::deadlineMicros).max().orElse(0);
        return (clients.maxResubmissions() + 1) * (maxDeadlineMicros + clients.resubmitDelayMicros());
    }

    /** The same with other failures. */
    public Scenario withFailures(List<Failure> others) {
        return new Scenario(
                name,
                description,
                durationMicros,
                loadFactor,
                fleet,
                clients,
                network,
                classes,
                tenants,
                groups,
                others);
    }

    /** The same with other groups of partners. */
    public Scenario withGroups(List<PartnerGroup> others) {
        return new Scenario(
                name,
                description,
                durationMicros,
                loadFactor,
                fleet,
                clients,
                network,
                classes,
                tenants,
                others,
                failures);
    }

    /** The same with other message classes. */
    public Scenario withClasses(List<MessageClass> others) {
        return withTraffic(others, tenants);
    }

    /** The same with other message classes and tenants. */
    public Scenario withTraffic(List<MessageClass> otherClasses, List<Tenant> otherTenants) {
        return new Scenario(
                name,
                description,
                durationMicros,
                loadFactor,
                fleet,
                clients,
                network,
                otherClasses,
                otherTenants,
                groups,
                failures);
    }

    /** The same with another duration and load factor. */
    public Scenario withDurationAndLoad(long otherDurationMicros, double otherLoadFactor) {
        return new Scenario(
                name,
                description,
                otherDurationMicros,
                otherLoadFactor,
                fleet,
                clients,
                network,
                classes,
                tenants,
                groups,
                failures);
    }

    /** The same with another fleet. */
    public Scenario withFleet(Fleet other) {
        return new Scenario(
                name,
                description,
                durationMicros,
                loadFactor,
                other,
                clients,
                network,
                classes,
                tenants,
                groups,
                failures);
    }
}
