package pipitstage.remembered;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pipitstage.Policy;
import pipitstage.Policy.ListKind;
import pipitstage.Policy.Result;
import pipitstage.Policy.Standing;

/**
 * Keeps what a relay knows of its endpoints while it runs, opens with what an earlier process left, and meets discovery
 * again. Times are the relay's own, in microseconds.
 */
public final class Book {
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
    public record Rules(Trust trust, long settle, long margin, long warmUp, boolean fixed) {}

    /**
     * What a relay starts with.
     *
     * @param list endpoints that are believed at least a little
     * @param revision of the list that they come from; -1 where there was none
     * @param remembered what the decision module is told of each
     */
    public record Opening(List<Listing> list, long revision, List<Policy.Remembered> remembered, List<String> log) {}

    /**
     * What follows from something heard or seen.
     *
     * @param passOn a list for the relay; null for none
     * @param remembered what the decision module is told with it
     * @param notes what is to be noted at once
     * @param askAt when the whole list is to be asked for again; {@link Lists#NEVER} for not at all
     */
    public record Heard(
            Told passOn, List<Policy.Remembered> remembered, List<Note> notes, List<String> log, long askAt) {
        static final Heard NOTHING = new Heard(null, List.of(), List.of(), List.of(), Lists.NEVER);
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
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final Map<String, Seen> seen = new HashMap<>();
    private final Set<String> confirmed = new HashSet<>();
    private Lists lists;
    private long revision = -1;
    private long generation;
    private long openedAt;
    private boolean changed;

    /** A book that is still empty; it is opened once. */
    public Book(Rules rules, String owner) {
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
    public Opening open(Picture picture, List<Note> notes, boolean whole, Told others, Moment now, long time) {
        openedAt = time;
        List<String> log = new ArrayList<>();
        List<Policy.Remembered> remembered = new ArrayList<>();
        List<Listing> list = new ArrayList<>();
        if (picture != null) {
            generation = picture.generation();
            revision = picture.revision();
            picture.endpoints().forEach(k -> known.put(k.id(), k));
            boolean all = take(notes, picture.time()) && whole;
            Elapsed elapsed = Elapsed.between(picture.at(), now);
            Map<Degree, Integer> count = new HashMap<>();
            if (rules.fixed() || others != null && (revision < 0 || others.revision() > revision)) {
                restrictTo(others, time);
                revision = others.revision();
            }
            for (Known one : List.copyOf(known.values())) {
                Degree degree =
                        rules.fixed() ? Degree.AS_LISTED : rules.trust().degree(one, picture.time(), elapsed, all);
                count.merge(degree, 1, Integer::sum);
                known.put(one.id(), one.notAfter(rules.trust().latestEvidence(degree, time)));
                if (degree != Degree.NEVER) {
                    list.add(new Listing(one.listed(), one.address()));
                    remembered.add(remember(one, degree, picture.time(), elapsed, time));
                }
            }
            log.add("remembered " + known.size() + " endpoints of revision " + revision + ", saved "
                    + (elapsed.most() == Elapsed.UNKNOWN
                            ? "at a time that the clock does not tell"
                            : elapsed.most() / 1_000_000 + " s ago"
                                    + (elapsed.doubtful() ? " if the clock is right" : ""))
                    + ": " + count.getOrDefault(Degree.AS_LISTED, 0) + " as listed, "
                    + count.getOrDefault(Degree.TRY_FIRST, 0) + " to be tried first, "
                    + count.getOrDefault(Degree.LAST, 0) + " if nothing else is left, "
                    + count.getOrDefault(Degree.NEVER, 0) + " never");
        } else if (others != null) {
            revision = others.revision();
            others.entries().forEach(e -> known.put(e.id(), Known.fresh(e.listed(), e.address(), time)));
            list.addAll(others.entries());
        }
        if (rules.fixed()) {
            confirmed.addAll(known.keySet());
        }
        lists = new Lists(rules.settle(), revision, list);
        changed = true;
        return new Opening(list, revision, remembered, log);
    }

    /** Another list is newer, or all there is: what was learnt of its endpoints stays, the rest is nothing. */
    private void restrictTo(Told all, long time) {
        Map<String, Known> old = new HashMap<>(known);
        known.clear();
        for (Listing entry : all.entries()) {
            Known one = old.get(entry.id());
            known.put(
                    entry.id(),
                    one == null || !one.address().equals(entry.address())
                            ? Known.fresh(entry.listed(), entry.address(), time)
                            : one.listed(entry.listed(), entry.address(), one.listedAt()));
        }
    }

    /** Takes in what was noted since a picture; false where any endpoint may be other than that. */
    private boolean take(List<Note> notes, long savedAt) {
        boolean whole = true;
        for (Note note : notes) {
            if (note.kind() == Note.Kind.LOST) {
                whole = false;
                known.replaceAll((id, k) -> k.with(waiting(standing(k), note.at() - savedAt)));
                continue;
            }
            known.computeIfPresent(note.id(), (id, k) -> switch (note.kind()) {
                case GONE -> k.in(Known.State.GONE);
                case STRUCK -> k.in(Known.State.STRUCK);
                case WAIT -> k.with(waiting(standing(k), note.at() - savedAt));
                case DOWN -> k.with(out(standing(k), true)).failed(note.at());
                case BACK -> k.with(out(standing(k), false)).answered(note.at()).returned(note.at());
                case LOST -> throw new IllegalStateException("of all endpoints");
            });
        }
        return whole;
    }

    private static Standing standing(Known k) {
        return k.standing() != null ? k.standing() : new Standing(k.id(), 0, 0, 0, 0, false, 0);
    }

    private static Standing waiting(Standing s, long wait) {
        return new Standing(
                s.route(), Math.max(s.waitLeft(), wait), s.limit(), s.usual(), s.response(), s.out(), s.warmLeft());
    }

    private static Standing out(Standing s, boolean out) {
        return new Standing(s.route(), s.waitLeft(), s.limit(), s.usual(), s.response(), out, s.warmLeft());
    }

    private Policy.Remembered remember(Known one, Degree degree, long savedAt, Elapsed elapsed, long time) {
        Standing s = standing(one);
        // Guards against a wait that is shortened: only what is proven to have passed counts.
        long wait = s.waitLeft() > 0 ? Math.max(0, s.waitLeft() - elapsed.least() + rules.margin()) : 0;
        long cold = one.returnedAt() > 0 ? one.returnedAt() + rules.warmUp() - savedAt : 0;
        long warm = Math.max(0, Math.min(rules.warmUp(), Math.max(cold, s.warmLeft()) - elapsed.least()));
        Seen mine = seenOf(one.id());
        mine.down = s.out();
        mine.noted = wait > 0 ? time + wait : 0;
        Standing then = new Standing(s.route(), wait, s.limit(), s.usual(), s.response(), s.out(), warm);
        known.computeIfPresent(one.id(), (id, k) -> k.with(then));
        return new Policy.Remembered(degree.belief(), then);
    }

    private Seen seenOf(String id) {
        return seen.computeIfAbsent(id, i -> new Seen());
    }

    /** Takes in what discovery tells. */
    public Heard heard(Told told, long now) {
        Lists.Verdict verdict = lists.take(told, now);
        return passOn(verdict.passOn(), verdict.log(), verdict.askAt(), now);
    }

    /** What was held back and is due. */
    public Heard due(long now) {
        Told told = lists.due(now);
        return told == null ? Heard.NOTHING : passOn(told, List.of(), Lists.NEVER, now);
    }

    /** When {@link #due} has something; {@link Lists#NEVER} where there is nothing to wait for. */
    public long nextDue() {
        return lists.nextAt();
    }

    /** Another discovery tells from now on. */
    public void moved() {
        lists.moved();
    }

    private Heard passOn(Told told, List<String> log, long askAt, long now) {
        if (told == null) {
            return new Heard(null, List.of(), List.of(), log, askAt);
        }
        changed = true;
        revision = Math.max(told.kind() == ListKind.FULL ? -1 : revision, told.revision());
        List<Policy.Remembered> remembered = new ArrayList<>();
        List<Note> notes = new ArrayList<>();
        Set<String> in = new HashSet<>();
        for (Listing entry : told.entries()) {
            Known before = known.get(entry.id());
            if (!entry.inService()) {
                gone(entry.id(), notes, now);
                continue;
            }
            in.add(entry.id());
            confirmed.add(entry.id());
            if (before != null && before.state() == Known.State.STRUCK) {
                // Guards against a rush to one that did not answer just now: it is tried first, and released as after
                // an outage.
                remembered.add(new Policy.Remembered(Policy.Belief.TRY_FIRST, out(standing(before), true)));
            }
            known.put(
                    entry.id(),
                    before == null
                            ? Known.fresh(entry.listed(), entry.address(), now)
                            : before.listed(entry.listed(), entry.address(), now));
        }
        if (told.kind() == ListKind.FULL) {
            known.keySet().stream().filter(id -> !in.contains(id)).toList().forEach(id -> gone(id, notes, now));
        }
        return new Heard(told, remembered, notes, log, askAt);
    }

    private void gone(String id, List<Note> notes, long now) {
        if (known.remove(id) != null) {
            notes.add(new Note(Note.Kind.GONE, id, now));
        }
        seen.remove(id);
        confirmed.remove(id);
    }

    /** Takes in what passes between relay and decision module: how calls and checks ended. */
    public Heard saw(Policy.Event event, long now) {
        if (event instanceof Policy.Outcome e) {
            boolean hung = e.result() == Result.TIMEOUT && e.elapsed() >= HANG;
            return ended(e.route(), e.result(), e.toldWait(), e.result() == Result.CONNECT_FAILED || hung, false, now);
        }
        if (event instanceof Policy.ProbeDone e) {
            // A check is answered with 200 or 503, or 429 with a wait; all else is no endpoint of this protocol.
            boolean unlike = e.result() == Result.ERROR;
            boolean hung = e.result() == Result.TIMEOUT || e.result() == Result.CONNECT_FAILED;
            return ended(e.route(), e.result(), e.toldWait(), hung, unlike, now);
        }
        if (event instanceof Policy.WaitTold e && isListed(known.get(e.route()))) {
            List<Note> notes = new ArrayList<>();
            noteWait(e.route(), e.span(), notes, now);
            return notes.isEmpty() ? Heard.NOTHING : new Heard(null, List.of(), notes, List.of(), Lists.NEVER);
        }
        return Heard.NOTHING;
    }

    private static boolean isListed(Known one) {
        return one != null && one.state() == Known.State.LISTED;
    }

    private void noteWait(String id, long wait, List<Note> notes, long now) {
        Seen mine = seenOf(id);
        if (wait > 0 && now + wait > mine.noted + WAIT_STEP) {
            mine.noted = now + wait;
            notes.add(new Note(Note.Kind.WAIT, id, mine.noted));
        }
    }

    /**
     * A call or a check ended.
     *
     * @param strike it was refused, or hung
     * @param unlike it was answered as no endpoint answers
     */
    private Heard ended(String id, Result result, long wait, boolean strike, boolean unlike, long now) {
        Known one = known.get(id);
        if (!isListed(one)) {
            return Heard.NOTHING;
        }
        Seen mine = seenOf(id);
        List<Note> notes = new ArrayList<>();
        noteWait(id, wait, notes, now);
        switch (result) {
            case OK -> {
                one = one.answered(now);
                mine.failures = 0;
                mine.strikes = 0;
                if (mine.down) {
                    mine.down = false;
                    one = one.returned(now);
                    notes.add(new Note(Note.Kind.BACK, id, now));
                }
            }
            case FULL -> one = one.answered(now);
            case ERROR, TIMEOUT, CONNECT_FAILED, RESET -> {
                one = result == Result.ERROR ? one.answered(now) : one.failed(now);
                if (++mine.failures >= FAILURES_DOWN && !mine.down) {
                    mine.down = true;
                    notes.add(new Note(Note.Kind.DOWN, id, now));
                }
            }
            case CANCELLED, NOT_SENT -> {}
        }
        known.put(id, one);
        if (confirmed.contains(id)) {
            return new Heard(null, List.of(), notes, List.of(), Lists.NEVER);
        }
        if (strike && now - mine.struckAt >= STRIKE_PAUSE) {
            mine.strikes++;
            mine.struckAt = now;
        }
        if (!unlike && mine.strikes < STRIKES) {
            return new Heard(null, List.of(), notes, List.of(), Lists.NEVER);
        }
        known.put(id, one.in(Known.State.STRUCK));
        changed = true;
        notes.add(new Note(Note.Kind.STRUCK, id, now));
        Listing listing = new Listing(one.listed(), one.address()).gone();
        return new Heard(
                new Told(ListKind.CHANGES, revision, List.of(listing)),
                List.of(),
                notes,
                List.of(id + " at "
                        + one.address() + (unlike ? " answers as something else" : " refused or hung twice")
                        + ", and is out until discovery lists it"),
                Lists.NEVER);
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
    public Picture picture(Moment at, long time, List<Standing> standings) {
        Map<String, Standing> byId = new HashMap<>();
        standings.forEach(s -> byId.put(s.route(), s));
        List<Known> endpoints = new ArrayList<>();
        for (Known one : known.values()) {
            Standing now = byId.get(one.id());
            Standing before = one.standing();
            if (now != null && before != null && time - openedAt < LEARNING) {
                now = new Standing(
                        now.route(),
                        now.waitLeft(),
                        now.limit(),
                        Math.max(now.usual(), before.usual()),
                        now.response() > 0 ? now.response() : before.response(),
                        now.out(),
                        now.warmLeft());
            }
            endpoints.add(now == null ? one : one.with(now));
        }
        return new Picture(owner, generation + 1, at, time, revision, endpoints);
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
