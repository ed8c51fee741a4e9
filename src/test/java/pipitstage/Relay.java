package pipitstage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import pipitstage.Policy.Availability;
import pipitstage.Policy.Event;
import pipitstage.Policy.KeyScope;
import pipitstage.Policy.LimitReport;
import pipitstage.Policy.Repeat;
import pipitstage.Policy.RequestClass;
import pipitstage.Policy.Result;

/** A relay of tests: plays rounds to a module and keeps what it asks for. */
final class Relay implements Policy.Actions {
    static final long MS = 1_000;
    static final long S = 1_000_000;

    record Sent(long at, long id, int attempt, String route, long timeout, long leaveWithin) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Sent> unanswered = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<Long> unheard = new ArrayList<>();
    final List<Long> subscribed = new ArrayList<>();
    final List<String> told = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    private final List<long[]> timers = new ArrayList<>();
    private final Policy policy;
    private final Map<Long, Integer> attempts = new HashMap<>();
    long now;

    Relay(Policy.Settings settings) {
        policy = new Logic(settings);
    }

    Policy module() {
        return policy;
    }

    /** Two kinds: shared limits in batches of four ("plain" carries one), and routes apart. */
    static Policy.Settings settings() {
        return settings(10, 100);
    }

    static Policy.Settings settings(int slots, int maxOpen) {
        return settings(slots, maxOpen, false);
    }

    static Policy.Settings settings(int slots, int maxOpen, boolean mustSubscribe) {
        return settings(7, 2, slots, maxOpen, mustSubscribe, false);
    }

    /** One of a fleet of relays. */
    static Policy.Settings fleet(int size, long seed) {
        return settings(seed, size, 10, 100, false, false);
    }

    /** The first of a fleet whose relays may send notes. */
    static Policy.Settings peers(int size) {
        return settings(7, size, 10, 100, false, true);
    }

    private static Policy.Settings settings(
            long seed, int fleet, int slots, int maxOpen, boolean mustSubscribe, boolean peers) {
        return new Policy.Settings(
                seed,
                0,
                fleet,
                "east",
                List.of(
                        type("safe", Repeat.REPEATABLE, false),
                        type("keyed", Repeat.BY_KEY, false),
                        type("once", Repeat.ONCE, false),
                        type("ordered", Repeat.REPEATABLE, true),
                        new RequestClass("quick", Repeat.REPEATABLE, KeyScope.ALL, 0, S / 2, 20 * S, 9, 0, false)),
                List.of(),
                List.of(
                        new Policy.Kind("plain", false, 1),
                        new Policy.Kind("apart", true, 1),
                        new Policy.Kind("bulk", false, 4)),
                List.of(new Policy.Zone("east", 0), new Policy.Zone("west", 0)),
                new Policy.Limits(slots, maxOpen, 6, true, true, peers, false, false, S),
                new Policy.Rules(20 * MS, S, 2, 2 * S, 0.2, 10 * S, 10 * S, 3 * S),
                1,
                false,
                mustSubscribe,
                Policy.RateHint.NONE,
                0);
    }

    private static RequestClass type(String name, Repeat repeat, boolean inOrder) {
        return new RequestClass(name, repeat, KeyScope.ZONE, 6 * S, 2 * S, 20 * S, 1, 0.5, inOrder);
    }

    static Policy.Listed route(String name, int destination, String kind, String zone) {
        return new Policy.Listed(name, destination, kind, zone, Availability.LISTED, 0);
    }

    Relay list(Policy.Listed... entries) {
        return round(new Policy.RouteList(Policy.ListKind.FULL, 1, List.of(entries)));
    }

    Relay changes(Policy.Listed... entries) {
        return round(new Policy.RouteList(Policy.ListKind.CHANGES, 2, List.of(entries)));
    }

    Relay accept(long id, String type, int destination) {
        return accept(id, type, destination, null);
    }

    Relay accept(long id, String type, int destination, String key) {
        return round(new Policy.Accepted(id, type, null, key, now + 20 * S, destination));
    }

    Relay round(Event... events) {
        policy.onRound(now, List.of(events), this);
        return this;
    }

    /** Lets time pass, playing timers as they fall due. */
    Relay pass(long span) {
        long end = now + span;
        while (true) {
            long[] next =
                    timers.stream().min((a, b) -> Long.compare(a[0], b[0])).orElse(null);
            if (next == null || next[0] > end) {
                now = end;
                return this;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            round(new Policy.TimerFired(next[1]));
        }
    }

    Relay answer(long id, Result result) {
        return answer(id, result, 0);
    }

    /** Answers the oldest attempt of a request that is out. */
    Relay answer(long id, Result result, long toldWait) {
        return answer(id, result, toldWait, LimitReport.NONE);
    }

    /** As above, with a report of the destination's limit. */
    Relay answer(long id, Result result, long toldWait, LimitReport report) {
        Sent attempt = unanswered.stream().filter(s -> s.id() == id).findFirst().orElseThrow();
        unanswered.remove(attempt);
        return round(new Policy.Outcome(
                id,
                attempt.attempt(),
                attempt.route(),
                result,
                result == Result.OK,
                toldWait,
                now - attempt.at(),
                report));
    }

    long sends(long id) {
        return sent.stream().filter(s -> s.id() == id).count();
    }

    @Override
    public void send(long id, String route, long timeout, long leaveWithin) {
        Sent attempt = new Sent(now, id, attempts.merge(id, 1, Integer::sum) - 1, route, timeout, leaveWithin);
        sent.add(attempt);
        unanswered.add(attempt);
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelled.add(id);
    }

    @Override
    public void refuse(long id, long retryIn) {
        refused.add(id);
    }

    @Override
    public void fail(long id) {
        failed.add(id);
    }

    @Override
    public void remind(long name, long delay) {
        timers.add(new long[] {now + Math.max(1, delay), name});
    }

    @Override
    public void probe(String route) {
        probes.add(route);
    }

    @Override
    public boolean isHeard(long id) {
        return !unheard.contains(id);
    }

    @Override
    public void closeIdle(String route) {}

    @Override
    public void tell(int relay, byte[] bytes) {
        told.add(relay + ":" + HexFormat.of().formatHex(bytes));
    }

    @Override
    public void subscribe(boolean on) {
        subscribed.add(now);
    }

    @Override
    public void fetchList() {}

    @Override
    public void log(String text) {
        logged.add(text);
    }
}
