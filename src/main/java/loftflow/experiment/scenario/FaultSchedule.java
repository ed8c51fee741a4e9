package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * When faults affect what: the failures of a scenario drawn for one seed, and from them the condition of every endpoint
 * at any time. The emulator and the loopback driver use the same schedule and so run the same faults.
 */
public final class FaultSchedule {
    private static final double MICROS_PER_HOUR = 3_600e6;
    /** Bounds the occurrences of one recurring failure. */
    private static final int MAX_OCCURRENCES = 10_000;
    /** A rolling restart takes this many steps. */
    private static final int ROLLING_RESTART_STEPS = 10;

    /** How an endpoint responds to calls, the worst first. */
    public enum ServingState {
        /** It has been removed from the endpoint list. */
        REMOVED("gone"),
        /** It refuses connections. */
        DOWN("down"),
        /** It accepts calls and never responds. */
        UNRESPONSIVE("silent"),
        /** It rejects every call. */
        REJECTING("shut"),
        /** It processes calls. */
        SERVING("calls");

        private final String code;

        ServingState(String code) {
            this.code = code;
        }

        /** The name on screens. */
        public String code() {
            return code;
        }
    }

    /**
     * The condition of an endpoint.
     *
     * @param errorShare share of the calls that fail
     * @param slowdownFactor by which calls take longer
     * @param capacityShare share of its capacity that is available; below 1 while it warms up after an outage
     * @param limitShare share of its rate limit that is in effect
     */
    public record EndpointCondition(
            ServingState servingState,
            double errorShare,
            double slowdownFactor,
            double capacityShare,
            double limitShare) {
        /** An endpoint without faults. */
        public static final EndpointCondition HEALTHY = new EndpointCondition(ServingState.SERVING, 0, 1, 1, 1);
    }

    /** One occurrence of a failure, up to but excluding its end. */
    public record FaultWindow(Scenario.Failure failure, long fromMicros, long untilMicros) {
        boolean covers(long timeMicros) {
            return timeMicros >= fromMicros && timeMicros < untilMicros;
        }
    }

    /** The crash of a relay, and when it has restarted. */
    public record RelayCrash(int relay, long atMicros, long restartedAtMicros) {}

    /** An endpoint that is listed as draining from one time on and removed at another. */
    public record EndpointDrain(int endpoint, long fromMicros, long removedAtMicros) {}

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final List<List<FaultWindow>> windowsByEndpoint = new ArrayList<>();
    private final List<Scenario.PartnerGroup> groupByEndpoint = new ArrayList<>();
    private final List<RelayCrash> relayCrashes = new ArrayList<>();
    private final List<EndpointDrain> endpointDrains = new ArrayList<>();
    private final List<FaultWindow> discoveryOutages = new ArrayList<>();
    private final List<FaultWindow> faultWindows = new ArrayList<>();

    private FaultSchedule(Scenario scenario, Scenario.Layout layout) {
        this.scenario = scenario;
        this.layout = layout;
        layout.endpoints().forEach(endpoint -> {
            windowsByEndpoint.add(new ArrayList<>());
            groupByEndpoint.add(layout.partners().get(endpoint.partner()).group());
        });
    }

    /** Draws the schedule of a seed. */
    public static FaultSchedule of(Scenario scenario, Scenario.Layout layout, long seed) {
        FaultSchedule faults = new FaultSchedule(scenario, layout);
        for (int i = 0; i < scenario.failures().size(); i++) {
            Scenario.Failure failure = scenario.failures().get(i);
            UniformRandomProvider random = RandomStreams.of(seed, "failure", i);
            for (long startMicros : occurrences(failure, scenario.durationMicros(), random)) {
                faults.addFault(failure, startMicros, random);
            }
        }
        faults.relayCrashes.sort(Comparator.comparingLong(RelayCrash::atMicros).thenComparingInt(RelayCrash::relay));
        faults.endpointDrains.sort(
                Comparator.comparingLong(EndpointDrain::fromMicros).thenComparingInt(EndpointDrain::endpoint));
        faults.faultWindows.sort(Comparator.comparingLong(FaultWindow::fromMicros));
        return faults;
    }

    private static List<Long> occurrences(
            Scenario.Failure failure, long runDurationMicros, UniformRandomProvider random) {
        if (failure.occurrencesPerHour() <= 0) {
            return List.of(failure.startMicros());
        }
        List<Long> occurrences = new ArrayList<>();
        var interval = ZigguratSampler.Exponential.of(random, MICROS_PER_HOUR / failure.occurrencesPerHour());
        double startMicros = failure.startMicros();
        while (occurrences.size() < MAX_OCCURRENCES) {
            startMicros += interval.sample();
            if (startMicros >= runDurationMicros) {
                break;
            }
            occurrences.add((long) startMicros);
        }
        return occurrences;
    }

    private void addFault(Scenario.Failure failure, long startMicros, UniformRandomProvider random) {
        FaultWindow window = new FaultWindow(failure, startMicros, startMicros + failure.durationMicros());
        faultWindows.add(window);
        switch (failure.kind()) {
            case RELAY_CRASH -> drawRelays(failure, random).forEach(relay -> addCrash(relay, startMicros));
            case ROLLING_RESTART -> addRollingRestart(failure, startMicros, random);
            case DISCOVERY_OUTAGE -> discoveryOutages.add(window);
            default -> addEndpointFault(window, random);
        }
    }

    private List<Integer> drawRelays(Scenario.Failure failure, UniformRandomProvider random) {
        return drawShare(scenario.fleet().relays(), failure.affectedShare(), random);
    }

    private void addCrash(int relay, long atMicros) {
        relayCrashes.add(
                new RelayCrash(relay, atMicros, atMicros + scenario.fleet().restartMicros()));
    }

    private void addRollingRestart(Scenario.Failure failure, long startMicros, UniformRandomProvider random) {
        List<Integer> relays = drawRelays(failure, random);
        ListSampler.shuffle(random, relays);
        for (int i = 0; i < relays.size(); i++) {
            int step = ROLLING_RESTART_STEPS * i / relays.size();
            addCrash(relays.get(i), startMicros + failure.durationMicros() * step / ROLLING_RESTART_STEPS);
        }
    }

    private void addEndpointFault(FaultWindow window, UniformRandomProvider random) {
        for (Scenario.Endpoint endpoint : drawEndpoints(window.failure(), random)) {
            windowsByEndpoint.get(endpoint.number()).add(window);
            if (window.failure().kind() == FailureKind.DRAIN) {
                endpointDrains.add(new EndpointDrain(endpoint.number(), window.fromMicros(), window.untilMicros()));
            }
        }
    }

    /** Draws whole partners, or single endpoints where routes are independent. */
    private List<Scenario.Endpoint> drawEndpoints(Scenario.Failure failure, UniformRandomProvider random) {
        List<List<Scenario.Endpoint>> units = new ArrayList<>();
        for (Scenario.Partner partner : layout.partners()) {
            if (failure.group() != null
                    && !failure.group().equals(partner.group().name())) {
                continue;
            }
            List<Scenario.Endpoint> candidates = partner.endpoints().stream()
                    .filter(endpoint -> failure.zone() == null || failure.zone().equals(endpoint.zone()))
                    .toList();
            if (partner.group().independentRoutes()) {
                candidates.forEach(endpoint -> units.add(List.of(endpoint)));
            } else if (!candidates.isEmpty()) {
                units.add(candidates);
            }
        }
        return drawShare(units.size(), failure.affectedShare(), random).stream()
                .flatMap(i -> units.get(i).stream())
                .toList();
    }

    /** Draws a share of the numbers below a count, in order; at least one if the share is above 0 and there is one. */
    private static List<Integer> drawShare(int count, double share, UniformRandomProvider random) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            numbers.add(i);
        }
        ListSampler.shuffle(random, numbers);
        int drawn = share <= 0 || count == 0 ? 0 : Math.max(1, (int) Math.round(count * share));
        List<Integer> chosen = new ArrayList<>(numbers.subList(0, drawn));
        Collections.sort(chosen);
        return chosen;
    }

    /** The condition of an endpoint at a time. */
    public EndpointCondition conditionAt(int endpoint, long timeMicros) {
        List<FaultWindow> windows = windowsByEndpoint.get(endpoint);
        if (windows.isEmpty()) {
            return EndpointCondition.HEALTHY;
        }
        ServingState servingState = ServingState.SERVING;
        double successShare = 1;
        double slowdownFactor = 1;
        double limitShare = 1;
        long returnedAtMicros = Long.MIN_VALUE;
        for (FaultWindow window : windows) {
            Scenario.Failure failure = window.failure();
            if (window.covers(timeMicros)) {
                switch (failure.kind()) {
                    case DOWN -> servingState = worse(servingState, ServingState.DOWN);
                    case UNRESPONSIVE -> servingState = worse(servingState, ServingState.UNRESPONSIVE);
                    case REJECTING -> servingState = worse(servingState, ServingState.REJECTING);
                    case ERRORS -> successShare *= 1 - failure.fraction();
                    case REDUCED_LIMIT -> limitShare *= failure.fraction();
                    case SLOW -> slowdownFactor *= failure.slowdownFactor();
                    case GRADUAL_SLOWDOWN -> slowdownFactor *= gradualSlowdown(window, timeMicros);
                    default -> {}
                }
            } else if (timeMicros >= window.untilMicros()) {
                if (failure.kind() == FailureKind.DRAIN) {
                    servingState = ServingState.REMOVED;
                } else if (failure.kind().returnsCold()) {
                    returnedAtMicros = Math.max(returnedAtMicros, window.untilMicros());
                }
            }
        }
        double capacityShare = capacityShare(groupByEndpoint.get(endpoint), returnedAtMicros, timeMicros);
        return new EndpointCondition(servingState, 1 - successShare, slowdownFactor, capacityShare, limitShare);
    }

    private static double gradualSlowdown(FaultWindow window, long timeMicros) {
        return Math.pow(
                window.failure().slowdownFactor(),
                (double) (timeMicros - window.fromMicros()) / (window.untilMicros() - window.fromMicros()));
    }

    private static ServingState worse(ServingState a, ServingState b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static double capacityShare(Scenario.PartnerGroup group, long returnedAtMicros, long timeMicros) {
        if (returnedAtMicros == Long.MIN_VALUE || timeMicros >= returnedAtMicros + group.warmUpMicros()) {
            return 1;
        }
        return group.coldCapacityShare()
                + (1 - group.coldCapacityShare()) * (timeMicros - returnedAtMicros) / group.warmUpMicros();
    }

    /** The crashes of relays in the order of time. */
    public List<RelayCrash> relayCrashes() {
        return Collections.unmodifiableList(relayCrashes);
    }

    /** The drains of endpoints in the order of time. */
    public List<EndpointDrain> endpointDrains() {
        return Collections.unmodifiableList(endpointDrains);
    }

    /** Every occurrence of a failure in the order of time. */
    public List<FaultWindow> faultWindows() {
        return Collections.unmodifiableList(faultWindows);
    }

    /** The first time from a given one on at which discovery is available. */
    public long discoveryAvailableFrom(long timeMicros) {
        long availableMicros = timeMicros;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (FaultWindow outage : discoveryOutages) {
                if (outage.covers(availableMicros)) {
                    availableMicros = outage.untilMicros();
                    moved = true;
                }
            }
        }
        return availableMicros;
    }
}
