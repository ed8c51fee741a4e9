package loftflow.experiment.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * When what is struck: a scenario's failures for one seed, and from them the state of every endpoint at a time. Both
 * drivers
 * ask the same object, so that they play the same failures.
 */
public final class FaultSchedule {
    private static final double HOUR = 3_600e6;
    /** A schedule that never ends would not be one. */
    private static final int MOST_BEGINNINGS = 10_000;

    /** Relays are restarted in so many steps. */
    private static final int STEPS = 10;

    /** How an endpoint meets calls, the worst first. */
    public enum Meets {
        GONE,
        DOWN,
        SILENT,
        SHUT,
        CALLS
    }

    /**
     * The state of an endpoint.
     *
     * @param failing share of the calls that fail
     * @param slower how many times as long a call takes
     * @param limited the part of its limit that it takes
     * @param able share of its capacity that it has; below 1 where it has come back cold
     */
    public record State(Meets meets, double failing, double slower, double able, double limited) {
        /** Nothing is wrong. */
        public static final State WELL = new State(Meets.CALLS, 0, 1, 1, 1);
    }

    /** A failure that runs from a time to before another one. */
    public record Strike(Scenario.Failure failure, long from, long to) {
        boolean covers(long at) {
            return at >= from && at < to;
        }
    }

    /** A relay's death. */
    public record Death(int relay, long at, long back) {}

    /** A change of the list: an endpoint drains, or is gone. */
    public record Drain(int endpoint, long from, long gone) {}

    private final List<List<Strike>> ofEndpoint = new ArrayList<>();
    private final List<Scenario.Group> groups = new ArrayList<>();
    private final List<Death> deaths = new ArrayList<>();
    private final List<Drain> drains = new ArrayList<>();
    private final List<Strike> discovery = new ArrayList<>();
    private final List<Strike> all = new ArrayList<>();

    private FaultSchedule(Scenario.Layout layout) {
        layout.endpoints().forEach(e -> {
            ofEndpoint.add(new ArrayList<>());
            groups.add(layout.partners().get(e.partner()).group());
        });
    }

    /** Draws what a scenario leaves open. */
    public static FaultSchedule of(Scenario scenario, Scenario.Layout layout, long seed) {
        FaultSchedule faults = new FaultSchedule(layout);
        for (int i = 0; i < scenario.failures().size(); i++) {
            Scenario.Failure failure = scenario.failures().get(i);
            UniformRandomProvider random = RandomStreams.of(seed, "failure", i);
            for (long at : beginnings(failure, scenario.span(), random)) {
                faults.strike(failure, at, scenario, layout, random);
            }
        }
        faults.deaths.sort(Comparator.comparingLong(Death::at).thenComparingInt(Death::relay));
        faults.drains.sort(Comparator.comparingLong(Drain::from).thenComparingInt(Drain::endpoint));
        faults.all.sort(Comparator.comparingLong(Strike::from));
        return faults;
    }

    private static List<Long> beginnings(Scenario.Failure failure, long span, UniformRandomProvider random) {
        if (failure.hazard() <= 0) {
            return List.of(failure.at());
        }
        List<Long> beginnings = new ArrayList<>();
        var gap = ZigguratSampler.Exponential.of(random, HOUR / failure.hazard());
        double at = failure.at();
        while (beginnings.size() < MOST_BEGINNINGS) {
            at += gap.sample();
            if (at >= span) {
                break;
            }
            beginnings.add((long) at);
        }
        return beginnings;
    }

    private void strike(
            Scenario.Failure failure,
            long at,
            Scenario scenario,
            Scenario.Layout layout,
            UniformRandomProvider random) {
        Strike strike = new Strike(failure, at, at + failure.lasts());
        all.add(strike);
        switch (failure.kind()) {
            case RELAYS_DIE -> some(scenario.fleet().relays(), failure.share(), random)
                    .forEach(relay -> deaths.add(
                            new Death(relay, at, at + scenario.fleet().restart())));
            case RELAYS_ROLL -> {
                List<Integer> rolled = some(scenario.fleet().relays(), failure.share(), random);
                ListSampler.shuffle(random, rolled);
                for (int i = 0; i < rolled.size(); i++) {
                    long step = at + failure.lasts() * (STEPS * i / rolled.size()) / STEPS;
                    deaths.add(new Death(
                            rolled.get(i), step, step + scenario.fleet().restart()));
                }
            }
            case DISCOVERY -> discovery.add(strike);
            default -> {
                for (Scenario.Endpoint e : struck(failure, layout, random)) {
                    ofEndpoint.get(e.number()).add(strike);
                    if (failure.kind() == Scenario.Kind.DRAIN) {
                        drains.add(new Drain(e.number(), at, strike.to()));
                    }
                }
            }
        }
    }

    /** Whole partners are struck; where routes are apart, single endpoints. */
    private static List<Scenario.Endpoint> struck(
            Scenario.Failure failure, Scenario.Layout layout, UniformRandomProvider random) {
        List<List<Scenario.Endpoint>> units = new ArrayList<>();
        for (Scenario.Partner partner : layout.partners()) {
            if (failure.group() != null
                    && !failure.group().equals(partner.group().name())) {
                continue;
            }
            List<Scenario.Endpoint> there = partner.endpoints().stream()
                    .filter(e ->
                            failure.building() == null || failure.building().equals(e.building()))
                    .toList();
            if (partner.group().routesApart()) {
                there.forEach(e -> units.add(List.of(e)));
            } else if (!there.isEmpty()) {
                units.add(there);
            }
        }
        return some(units.size(), failure.share(), random).stream()
                .flatMap(i -> units.get(i).stream())
                .toList();
    }

    /** A share of so many, at least one where the share is above 0 and there is one. */
    private static List<Integer> some(int count, double share, UniformRandomProvider random) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            numbers.add(i);
        }
        ListSampler.shuffle(random, numbers);
        int taken = share <= 0 || count == 0 ? 0 : Math.max(1, (int) Math.round(count * share));
        List<Integer> chosen = new ArrayList<>(numbers.subList(0, taken));
        Collections.sort(chosen);
        return chosen;
    }

    /** The state of an endpoint at a time. */
    public State state(int endpoint, long at) {
        List<Strike> strikes = ofEndpoint.get(endpoint);
        if (strikes.isEmpty()) {
            return State.WELL;
        }
        Meets meets = Meets.CALLS;
        double working = 1;
        double slower = 1;
        double limited = 1;
        long returned = Long.MIN_VALUE;
        for (Strike strike : strikes) {
            Scenario.Kind kind = strike.failure().kind();
            if (strike.covers(at)) {
                switch (kind) {
                    case DOWN -> meets = worse(meets, Meets.DOWN);
                    case SILENT -> meets = worse(meets, Meets.SILENT);
                    case SHUT -> meets = worse(meets, Meets.SHUT);
                    case ERRORS -> working *= 1 - strike.failure().part();
                    case LIMITS -> limited *= strike.failure().part();
                    case SLOW -> slower *= strike.failure().factor();
                    case LEAK -> slower *= Math.pow(
                            strike.failure().factor(), (double) (at - strike.from()) / (strike.to() - strike.from()));
                    default -> {}
                }
            } else if (at >= strike.to()) {
                if (kind == Scenario.Kind.DRAIN) {
                    meets = Meets.GONE;
                } else if (kind.returnsCold()) {
                    returned = Math.max(returned, strike.to());
                }
            }
        }
        return new State(meets, 1 - working, slower, able(groups.get(endpoint), returned, at), limited);
    }

    private static Meets worse(Meets a, Meets b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static double able(Scenario.Group group, long returned, long at) {
        if (returned == Long.MIN_VALUE || at >= returned + group.warmUp()) {
            return 1;
        }
        return group.coldFrom() + (1 - group.coldFrom()) * (at - returned) / group.warmUp();
    }

    /** Relays' deaths in the order of time. */
    public List<Death> deaths() {
        return Collections.unmodifiableList(deaths);
    }

    /** Changes of the list in the order of time. */
    public List<Drain> drains() {
        return Collections.unmodifiableList(drains);
    }

    /** Everything that strikes, in the order of time. */
    public List<Strike> strikes() {
        return Collections.unmodifiableList(all);
    }

    /** When discovery, asked at a time, tells: then, or when it is back. */
    public long told(long at) {
        long tells = at;
        for (boolean moved = true; moved; ) {
            moved = false;
            for (Strike strike : discovery) {
                if (strike.covers(tells)) {
                    tells = strike.to();
                    moved = true;
                }
            }
        }
        return tells;
    }
}
