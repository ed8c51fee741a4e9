package loftflow.experiment.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RandomStreams;
import loftflow.experiment.scenario.RuleLimits;
import loftflow.experiment.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Model of an endpoint: servers with a random service time, a bounded queue before them, a rate limit, scheduled
 * faults, and reduced capacity after an outage, under which it collapses if it is overloaded. Times passed to it must
 * not decrease. Not thread-safe.
 */
public final class EmulatedEndpoint {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Delay of a rejection or an error response. */
    private static final long IMMEDIATE_RESPONSE_MICROS = 1_000;
    /** An endpoint that fails a larger share of its calls is in an outage. */
    private static final double OUTAGE_ERROR_SHARE = 0.5;

    /**
     * The result of a call or probe.
     *
     * @param executed whether it takes effect, at the latest when the response is sent
     * @param respondAtMicros when the response is sent; -1 where there is none
     */
    public record CallResult(MessageHistory.Response response, boolean executed, long respondAtMicros) {}

    private final Scenario.Endpoint endpoint;
    private final Scenario.PartnerGroup group;
    private final FaultSchedule faults;
    private final EmulatedRateLimit limit;
    private final RunHistory history;
    private final UniformRandomProvider random;
    private final ContinuousSampler serviceTime;
    private final CollapseDetector collapseDetector;
    /** When each server becomes free. */
    private final PriorityQueue<Long> serverFreeAtMicros = new PriorityQueue<>();
    /** When each queued call is started. */
    private final ArrayDeque<Long> queuedStartsMicros = new ArrayDeque<>();
    /**
     * Server occupancy of a call as a multiple of its service time: the number of servers is rounded up, and the
     * occupancy makes up for that so that the capacity is met exactly.
     */
    private final double occupancyFactor;

    private long currentSecond;
    private int callsInSecond;

    private EmulatedEndpoint(
            Scenario.Endpoint endpoint,
            Scenario.PartnerGroup group,
            RuleLimits limits,
            FaultSchedule faults,
            EmulatedRateLimit limit,
            RunHistory history,
            UniformRandomProvider random) {
        this.endpoint = endpoint;
        this.group = group;
        this.faults = faults;
        this.limit = limit;
        this.history = history;
        this.random = random;
        collapseDetector = new CollapseDetector(endpoint.number(), group.capacityPerSecond(), limits, history);
        double responseMicros = Math.max(1, group.responseMicros());
        double busyServers = group.capacityPerSecond() * responseMicros / MICROS_PER_SECOND;
        int servers = (int) Math.max(1, Math.ceil(busyServers));
        occupancyFactor = servers / busyServers;
        for (int i = 0; i < servers; i++) {
            serverFreeAtMicros.add(0L);
        }
        serviceTime = serviceTime(responseMicros, group.responseSigma(), random);
    }

    /** A log-normal distribution with the given mean; constant where sigma is 0. */
    private static ContinuousSampler serviceTime(double meanMicros, double sigma, UniformRandomProvider random) {
        return sigma == 0
                ? () -> meanMicros
                : LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random), Math.log(meanMicros) - sigma * sigma / 2, sigma);
    }

    /** The endpoint's place in the scenario. */
    public Scenario.Endpoint endpoint() {
        return endpoint;
    }

    /** The group of the partner that the endpoint belongs to. */
    public Scenario.PartnerGroup group() {
        return group;
    }

    /** The rate limit, shared with the partner's other endpoints unless its routes are independent. */
    public EmulatedRateLimit limit() {
        return limit;
    }

    /** Creates all endpoints of a layout, by number. */
    public static List<EmulatedEndpoint> createAll(
            Scenario.Layout layout, RuleLimits limits, FaultSchedule faults, RunHistory history, long seed) {
        List<EmulatedEndpoint> all = new ArrayList<>();
        for (Scenario.Partner partner : layout.partners()) {
            Scenario.PartnerGroup group = partner.group();
            EmulatedRateLimit shared = rateLimit(group);
            for (Scenario.Endpoint endpoint : partner.endpoints()) {
                all.add(new EmulatedEndpoint(
                        endpoint,
                        group,
                        limits,
                        faults,
                        group.independentRoutes() ? rateLimit(group) : shared,
                        history,
                        RandomStreams.of(seed, "endpoint", endpoint.number())));
            }
        }
        return all;
    }

    private static EmulatedRateLimit rateLimit(Scenario.PartnerGroup group) {
        return new EmulatedRateLimit(group.limitPerSecond(), group.countsRejections());
    }

    /** The {@code Retry-After} sent with a result, in microseconds; 0 for none. */
    public long retryAfterMicros(CallResult result) {
        return result.response() == MessageHistory.Response.REJECTED ? group.retryAfterMicros() : 0;
    }

    /** Processes a call from a relay. */
    public CallResult receiveCall(int relay, long nowMicros) {
        return receive(relay, nowMicros, CallCounts.Metric.CALLS);
    }

    /** Processes a health probe from a relay; the relay may be {@link CallCounts#NONE}. */
    public CallResult receiveProbe(int relay, long nowMicros) {
        return receive(relay, nowMicros, CallCounts.Metric.PROBES);
    }

    private CallResult receive(int relay, long nowMicros, CallCounts.Metric metric) {
        FaultSchedule.EndpointCondition condition = faults.conditionAt(endpoint.number(), nowMicros);
        countLoad(nowMicros, condition);
        boolean serving = condition.servingState() == FaultSchedule.ServingState.SERVING;
        if (serving && condition.capacityShare() < 1) {
            collapseDetector.onCallWhileCold(relay, nowMicros, condition.capacityShare());
        }
        CallResult result = process(nowMicros, condition);
        countResult(relay, metric, result.response());
        boolean outage = collapseDetector.hasCollapsed() || !serving || condition.errorShare() > OUTAGE_ERROR_SHARE;
        collapseDetector.onResult(relay, result, outage);
        return result;
    }

    private void countResult(int relay, CallCounts.Metric metric, MessageHistory.Response response) {
        history.callCounts().count(metric, relay, endpoint.number());
        CallCounts.Metric failure =
                switch (response) {
                    case REJECTED -> CallCounts.Metric.REJECTED;
                    case CONNECT_FAILED -> CallCounts.Metric.CONNECT_FAILED;
                    case NO_RESPONSE -> CallCounts.Metric.NO_RESPONSE;
                    case DELIVERED, ERROR -> null;
                };
        if (failure != null) {
            history.callCounts().count(failure, relay, endpoint.number());
        }
    }

    /** A relay has stopped waiting for the response to a call or probe. */
    public void onAbandonedBy(int relay) {
        collapseDetector.onAbandonedBy(relay);
    }

    private CallResult process(long nowMicros, FaultSchedule.EndpointCondition condition) {
        FaultSchedule.ServingState state = condition.servingState();
        if (collapseDetector.hasCollapsed() || isUnreachable(state)) {
            return new CallResult(MessageHistory.Response.CONNECT_FAILED, false, nowMicros);
        }
        if (state == FaultSchedule.ServingState.UNRESPONSIVE) {
            return new CallResult(MessageHistory.Response.NO_RESPONSE, true, -1);
        }
        if (state == FaultSchedule.ServingState.REJECTING
                || !limit.tryAcquire(nowMicros, condition.limitShare())
                || isQueueFull(nowMicros)) {
            return new CallResult(MessageHistory.Response.REJECTED, false, nowMicros + IMMEDIATE_RESPONSE_MICROS);
        }
        if (random.nextDouble() < condition.errorShare()) {
            return new CallResult(
                    MessageHistory.Response.ERROR, random.nextBoolean(), nowMicros + IMMEDIATE_RESPONSE_MICROS);
        }
        return responseAt(enqueue(nowMicros, condition));
    }

    private static boolean isUnreachable(FaultSchedule.ServingState state) {
        return state == FaultSchedule.ServingState.DOWN || state == FaultSchedule.ServingState.REMOVED;
    }

    /** Assigns the call to the next free server and returns when it is finished. */
    private long enqueue(long nowMicros, FaultSchedule.EndpointCondition condition) {
        long durationMicros =
                (long) Math.max(1, serviceTime.sample() * condition.slowdownFactor() / condition.capacityShare());
        long startMicros = Math.max(nowMicros, serverFreeAtMicros.poll());
        serverFreeAtMicros.add(startMicros + (long) (durationMicros * occupancyFactor));
        queuedStartsMicros.add(startMicros);
        return startMicros + durationMicros;
    }

    /** The result of a call that finishes at a time; an endpoint that has failed by then sends no response. */
    private CallResult responseAt(long finishedMicros) {
        FaultSchedule.ServingState state =
                faults.conditionAt(endpoint.number(), finishedMicros).servingState();
        if (state == FaultSchedule.ServingState.UNRESPONSIVE) {
            return new CallResult(MessageHistory.Response.NO_RESPONSE, true, -1);
        }
        return isUnreachable(state)
                ? new CallResult(MessageHistory.Response.NO_RESPONSE, true, finishedMicros)
                : new CallResult(MessageHistory.Response.DELIVERED, true, finishedMicros);
    }

    private boolean isQueueFull(long nowMicros) {
        while (!queuedStartsMicros.isEmpty() && queuedStartsMicros.peek() <= nowMicros) {
            queuedStartsMicros.poll();
        }
        return queuedStartsMicros.size() >= group.queueLength() && serverFreeAtMicros.peek() > nowMicros;
    }

    private void countLoad(long nowMicros, FaultSchedule.EndpointCondition condition) {
        if (nowMicros / MICROS_PER_SECOND != currentSecond) {
            if (callsInSecond > 0) {
                history.addEndpointLoad(new RunHistory.EndpointLoad(
                        endpoint.number(),
                        currentSecond * MICROS_PER_SECOND,
                        callsInSecond,
                        group.capacityPerSecond() * condition.capacityShare()));
            }
            currentSecond = nowMicros / MICROS_PER_SECOND;
            callsInSecond = 0;
        }
        callsInSecond++;
    }
}
