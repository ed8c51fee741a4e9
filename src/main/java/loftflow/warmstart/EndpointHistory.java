package loftflow.warmstart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TrustLevel;

/**
 * Keeps what a relay knows of its endpoints while it runs, opens with what an earlier process left, and meets discovery
 * again. Times are the relay's own, in microseconds.
 */
public final class EndpointHistory {
    private static final int STRIKES = 2;
    private static final long STRIKE_PAUSE = 1_000_000;
    /** A call that ends so soon by its own deadline says nothing of a hang. */
    private static final long HANG = 1_000_000;

    private static final int FAILURES_DOWN = 3;
    /** Before a process has served so long, the rates of the one before tell more. */
    private static final long LEARNING = 20_000_000;
    /** A wait that is noted is noted again only where it grows by this. */
    private static final long WAIT_STEP = 200_000;

    /**
     * By what rules.
     *
     * @param settle how long a list of discovery that is in doubt must be told before it is believed
     * @param margin added to a wait that outlasts a restart
     * @param warmUp how long an endpoint is cold after its return
     * @param fixed the list is on file: it is all there is, and nothing is struck out
     */
    public record Rules(TrustPolicy trust, long settle, long margin, long warmUp, boolean fixed) {}

    /**
     * What a relay starts with.
     *
     * @param list endpoints that are believed at least a little
     * @param revision of the list that they come from; -1 where there was none
     * @param remembered what the decision module is told of each
     */
    public record Opening(List<ListedEndpoint> list, long revision, List<RouteRestored> remembered, List<String> log) {}

    /**
     * What follows from something heard or seen.
     *
     * @param passOn a list for the relay; null for none
     * @param remembered what the decision module is told with it
     * @param notes what is to be noted at once
     * @param askAt when the whole list is to be asked for again; {@link EndpointListReconciler#NEVER} for not at all
     */
    public record Heard(
            ListUpdate passOn,
            List<RouteRestored> remembered,
            List<SnapshotDelta> notes,
            List<String> log,
            long askAt) {
        static final Heard NOTHING = new Heard(null, List.of(), List.of(), List.of(), EndpointListReconciler.NEVER);
    }

    /** What this process has seen of an endpoint. */
    private static final class Seen {
        int strikes;
        long struckAt = Long.MIN_VALUE / 2;
        int failures;
        boolean down;
        long noted;
    }

    private final Rules rules;
    private final String owner;
    private final Map<String, KnownEndpoint> known = new LinkedHashMap<>();
    private final Map<String, Seen> seen = new HashMap<>();
    private final Set<String> confirmed = new HashSet<>();
    private EndpointListReconciler lists;
    private long revision = -1;
    private long generation;
    private long openedAt;
    private boolean changed;

    /** A book that is still empty; it is opened once. */
    public EndpointHistory(Rules rules, String owner) {
        this.rules = rules;
        this.owner = owner;
    }

    /**
     * Opens with what was kept.
     *
     * @param picture null where nothing was
     * @param notes what was noted since, in order
     * @param whole false where notes may be missing
     * @param others the list that is known otherwise: used where there is no picture, or where it is all there is
     * @param now the machine's clocks
     * @param time the relay's own time
     */
    public Opening open(
            Snapshot picture,
            List<SnapshotDelta> notes,
            boolean whole,
            ListUpdate others,
            ClockReading now,
            long time) {
        openedAt = time;
        List<String> log = new ArrayList<>();
        List<RouteRestored> remembered = new ArrayList<>();
        List<ListedEndpoint> list = new ArrayList<>();
        if (picture != null) {
            generation = picture.generation();
            revision = picture.revision();
            picture.endpoints().forEach(k -> known.put(k.id(), k));
            boolean all = take(notes, picture.time()) && whole;
            DowntimeEstimate elapsed = DowntimeEstimate.between(picture.at(), now);
            Map<EndpointTrust, Integer> count = new HashMap<>();
            if (rules.fixed() || others != null && (revision < 0 || others.revision() > revision)) {
                restrictTo(others, time);
                revision = others.revision();
            }
            for (KnownEndpoint one : List.copyOf(known.values())) {
                EndpointTrust degree = rules.fixed()
                        ? EndpointTrust.AS_LISTED
                        : rules.trust().degree(one, picture.time(), elapsed, all);
                count.merge(degree, 1, Integer::sum);
                known.put(one.id(), one.notAfter(rules.trust().latestEvidence(degree, time)));
                if (degree != EndpointTrust.NEVER) {
                    list.add(new ListedEndpoint(one.listed(), one.address()));
                    remembered.add(remember(one, degree, picture.time(), elapsed, time));
                }
            }
            log.add("remembered " + known.size() + " endpoints of revision " + revision + ", saved "
                    + (elapsed.most() == DowntimeEstimate.UNKNOWN
                            ? "at a time that the clock does not tell"
                            : elapsed.most() / 1_000_000 + " s ago"
                                    + (elapsed.doubtful() ? " if the clock is right" : ""))
                    + ": " + count.getOrDefault(EndpointTrust.AS_LISTED, 0) + " as listed, "
                    + count.getOrDefault(EndpointTrust.TRY_FIRST, 0) + " to be tried first, "
                    + count.getOrDefault(EndpointTrust.LAST, 0) + " if nothing else is left, "
                    + count.getOrDefault(EndpointTrust.NEVER, 0) + " never");
        } else if (others != null) {
            revision = others.revision();
            others.entries().forEach(e -> known.put(e.id(), KnownEndpoint.fresh(e.listed(), e.address(), time)));
            list.addAll(others.entries());
        }
        if (rules.fixed()) {
            confirmed.addAll(known.keySet());
        }
        lists = new EndpointListReconciler(rules.settle(), revision, list);
        changed = true;
        return new Opening(list, revision, remembered, log);
    }

    /** Another list is newer, or all there is: what was learnt of its endpoints stays, the rest is nothing. */
    private void restrictTo(ListUpdate all, long time) {
        Map<String, KnownEndpoint> old = new HashMap<>(known);
        known.clear();
        for (ListedEndpoint entry : all.entries()) {
            KnownEndpoint one = old.get(entry.id());
            known.put(
                    entry.id(),
                    one == null || !one.address().equals(entry.address())
                            ? KnownEndpoint.fresh(entry.listed(), entry.address(), time)
                            : one.listed(entry.listed(), entry.address(), one.listedAt()));
        }
    }

    /** Takes in what was noted since a picture; false where any endpoint may be other than that. */
    private boolean take(List<SnapshotDelta> notes, long savedAt) {
        boolean whole = true;
        for (SnapshotDelta note : notes) {
            if (note.kind() == SnapshotDelta.Kind.LOST) {
                whole = false;
                known.replaceAll((id, k) -> k.with(waiting(standing(k), note.at() - savedAt)));
                continue;
            }
            known.computeIfPresent(note.id(), (id, k) -> switch (note.kind()) {
                case GONE -> k.in(KnownEndpoint.State.GONE);
                case STRUCK -> k.in(KnownEndpoint.State.STRUCK);
                case WAIT -> k.with(waiting(standing(k), note.at() - savedAt));
                case DOWN -> k.with(out(standing(k), true)).failed(note.at());
                case BACK -> k.with(out(standing(k), false)).answered(note.at()).returned(note.at());
                case LOST -> throw new IllegalStateException("of all endpoints");
            });
        }
        return whole;
    }

    private static RouteSnapshot standing(KnownEndpoint k) {
        return k.standing() != null ? k.standing() : new RouteSnapshot(k.id(), 0, 0, 0, 0, false, 0);
    }

    private static RouteSnapshot waiting(RouteSnapshot s, long wait) {
        return new RouteSnapshot(
                s.route(),
                Math.max(s.retryAfterRemainingMicros(), wait),
                s.limitPerSecond(),
                s.usualRatePerSecond(),
                s.responseTimeMicros(),
                s.circuitOpen(),
                s.warmUpRemainingMicros());
    }

    private static RouteSnapshot out(RouteSnapshot s, boolean out) {
        return new RouteSnapshot(
                s.route(),
                s.retryAfterRemainingMicros(),
                s.limitPerSecond(),
                s.usualRatePerSecond(),
                s.responseTimeMicros(),
                out,
                s.warmUpRemainingMicros());
    }

    private RouteRestored remember(
            KnownEndpoint one, EndpointTrust degree, long savedAt, DowntimeEstimate elapsed, long time) {
        RouteSnapshot s = standing(one);
        // Guards against a wait that is shortened: only what is proven to have passed counts.
        long wait = s.retryAfterRemainingMicros() > 0
                ? Math.max(0, s.retryAfterRemainingMicros() - elapsed.least() + rules.margin())
                : 0;
        long cold = one.returnedAt() > 0 ? one.returnedAt() + rules.warmUp() - savedAt : 0;
        long warm = Math.max(0, Math.min(rules.warmUp(), Math.max(cold, s.warmUpRemainingMicros()) - elapsed.least()));
        Seen mine = seenOf(one.id());
        mine.down = s.circuitOpen();
        mine.noted = wait > 0 ? time + wait : 0;
        RouteSnapshot then = new RouteSnapshot(
                s.route(),
                wait,
                s.limitPerSecond(),
                s.usualRatePerSecond(),
                s.responseTimeMicros(),
                s.circuitOpen(),
                warm);
        known.computeIfPresent(one.id(), (id, k) -> k.with(then));
        return new RouteRestored(degree.belief(), then);
    }

    private Seen seenOf(String id) {
        return seen.computeIfAbsent(id, i -> new Seen());
    }

    /** Takes in what discovery tells. */
    public Heard heard(ListUpdate told, long now) {
        EndpointListReconciler.Verdict verdict = lists.take(told, now);
        return passOn(verdict.passOn(), verdict.log(), verdict.askAt(), now);
    }

    /** What was held back and is due. */
    public Heard due(long now) {
        ListUpdate told = lists.due(now);
        return told == null ? Heard.NOTHING : passOn(told, List.of(), EndpointListReconciler.NEVER, now);
    }

    /** When {@link #due} has something; {@link EndpointListReconciler#NEVER} where there is nothing to wait for. */
    public long nextDue() {
        return lists.nextAt();
    }

    /** Another discovery tells from now on. */
    public void moved() {
        lists.moved();
    }

    private Heard passOn(ListUpdate told, List<String> log, long askAt, long now) {
        if (told == null) {
            return new Heard(null, List.of(), List.of(), log, askAt);
        }
        changed = true;
        revision = Math.max(told.kind() == EndpointListKind.FULL ? -1 : revision, told.revision());
        List<RouteRestored> remembered = new ArrayList<>();
        List<SnapshotDelta> notes = new ArrayList<>();
        Set<String> in = new HashSet<>();
        for (ListedEndpoint entry : told.entries()) {
            KnownEndpoint before = known.get(entry.id());
            if (!entry.inService()) {
                gone(entry.id(), notes, now);
                continue;
            }
            in.add(entry.id());
            confirmed.add(entry.id());
            if (before != null && before.state() == KnownEndpoint.State.STRUCK) {
                // Guards against a rush to one that did not answer just now: it is tried first, and released as after
                // an outage.
                remembered.add(new RouteRestored(TrustLevel.PROBE_FIRST, out(standing(before), true)));
            }
            known.put(
                    entry.id(),
                    before == null
                            ? KnownEndpoint.fresh(entry.listed(), entry.address(), now)
                            : before.listed(entry.listed(), entry.address(), now));
        }
        if (told.kind() == EndpointListKind.FULL) {
            known.keySet().stream().filter(id -> !in.contains(id)).toList().forEach(id -> gone(id, notes, now));
        }
        return new Heard(told, remembered, notes, log, askAt);
    }

    private void gone(String id, List<SnapshotDelta> notes, long now) {
        if (known.remove(id) != null) {
            notes.add(new SnapshotDelta(SnapshotDelta.Kind.GONE, id, now));
        }
        seen.remove(id);
        confirmed.remove(id);
    }

    /** Takes in what passes between relay and decision module: how calls and checks ended. */
    public Heard saw(PolicyEvent event, long now) {
        if (event instanceof AttemptCompleted e) {
            boolean hung = e.outcome() == AttemptOutcome.TIMEOUT && e.elapsedMicros() >= HANG;
            return ended(
                    e.route(),
                    e.outcome(),
                    e.retryAfterMicros(),
                    e.outcome() == AttemptOutcome.CONNECT_FAILED || hung,
                    false,
                    now);
        }
        if (event instanceof ProbeCompleted e) {
            // A check is answered with 200 or 503, or 429 with a wait; all else is no endpoint of this protocol.
            boolean unlike = e.outcome() == AttemptOutcome.ERROR;
            boolean hung = e.outcome() == AttemptOutcome.TIMEOUT || e.outcome() == AttemptOutcome.CONNECT_FAILED;
            return ended(e.route(), e.outcome(), e.retryAfterMicros(), hung, unlike, now);
        }
        if (event instanceof RetryAfterReceived e && isListed(known.get(e.route()))) {
            List<SnapshotDelta> notes = new ArrayList<>();
            noteWait(e.route(), e.retryAfterMicros(), notes, now);
            return notes.isEmpty()
                    ? Heard.NOTHING
                    : new Heard(null, List.of(), notes, List.of(), EndpointListReconciler.NEVER);
        }
        return Heard.NOTHING;
    }

    private static boolean isListed(KnownEndpoint one) {
        return one != null && one.state() == KnownEndpoint.State.LISTED;
    }

    private void noteWait(String id, long wait, List<SnapshotDelta> notes, long now) {
        Seen mine = seenOf(id);
        if (wait > 0 && now + wait > mine.noted + WAIT_STEP) {
            mine.noted = now + wait;
            notes.add(new SnapshotDelta(SnapshotDelta.Kind.WAIT, id, mine.noted));
        }
    }

    /**
     * A call or a check ended.
     *
     * @param strike it was refused, or hung
     * @param unlike it was answered as no endpoint answers
     */
    private Heard ended(String id, AttemptOutcome result, long wait, boolean strike, boolean unlike, long now) {
        KnownEndpoint one = known.get(id);
        if (!isListed(one)) {
            return Heard.NOTHING;
        }
        Seen mine = seenOf(id);
        List<SnapshotDelta> notes = new ArrayList<>();
        noteWait(id, wait, notes, now);
        switch (result) {
            case OK -> {
                one = one.answered(now);
                mine.failures = 0;
                mine.strikes = 0;
                if (mine.down) {
                    mine.down = false;
                    one = one.returned(now);
                    notes.add(new SnapshotDelta(SnapshotDelta.Kind.BACK, id, now));
                }
            }
            case REJECTED -> one = one.answered(now);
            case ERROR, TIMEOUT, CONNECT_FAILED, RESET -> {
                one = result == AttemptOutcome.ERROR ? one.answered(now) : one.failed(now);
                if (++mine.failures >= FAILURES_DOWN && !mine.down) {
                    mine.down = true;
                    notes.add(new SnapshotDelta(SnapshotDelta.Kind.DOWN, id, now));
                }
            }
            case CANCELLED, NOT_SENT -> {}
        }
        known.put(id, one);
        if (confirmed.contains(id)) {
            return new Heard(null, List.of(), notes, List.of(), EndpointListReconciler.NEVER);
        }
        if (strike && now - mine.struckAt >= STRIKE_PAUSE) {
            mine.strikes++;
            mine.struckAt = now;
        }
        if (!unlike && mine.strikes < STRIKES) {
            return new Heard(null, List.of(), notes, List.of(), EndpointListReconciler.NEVER);
        }
        known.put(id, one.in(KnownEndpoint.State.STRUCK));
        changed = true;
        notes.add(new SnapshotDelta(SnapshotDelta.Kind.STRUCK, id, now));
        ListedEndpoint listing = new ListedEndpoint(one.listed(), one.address()).gone();
        return new Heard(
                new ListUpdate(EndpointListKind.DELTA, revision, List.of(listing)),
                List.of(),
                notes,
                List.of(id + " at "
                        + one.address() + (unlike ? " answers as something else" : " refused or hung twice")
                        + ", and is out until discovery lists it"),
                EndpointListReconciler.NEVER);
    }

    /** True where the list has changed since the last picture. */
    public boolean hasChanged() {
        return changed;
    }

    /**
     * A picture of all that is known now.
     *
     * @param standings what the decision module knows
     */
    public Snapshot picture(ClockReading at, long time, List<RouteSnapshot> standings) {
        Map<String, RouteSnapshot> byId = new HashMap<>();
        standings.forEach(s -> byId.put(s.route(), s));
        List<KnownEndpoint> endpoints = new ArrayList<>();
        for (KnownEndpoint one : known.values()) {
            RouteSnapshot now = byId.get(one.id());
            RouteSnapshot before = one.standing();
            if (now != null && before != null && time - openedAt < LEARNING) {
                now = new RouteSnapshot(
                        now.route(),
                        now.retryAfterRemainingMicros(),
                        now.limitPerSecond(),
                        Math.max(now.usualRatePerSecond(), before.usualRatePerSecond()),
                        now.responseTimeMicros() > 0 ? now.responseTimeMicros() : before.responseTimeMicros(),
                        now.circuitOpen(),
                        now.warmUpRemainingMicros());
            }
            endpoints.add(now == null ? one : one.with(now));
        }
        return new Snapshot(owner, generation + 1, at, time, revision, endpoints);
    }

    /** The picture is being saved: the next one has another generation. */
    public void saving() {
        changed = false;
        generation++;
    }

    /** It could not be: its generation is free, and what has changed since the one before still has. */
    public void notSaved() {
        changed = true;
        generation--;
    }
}
