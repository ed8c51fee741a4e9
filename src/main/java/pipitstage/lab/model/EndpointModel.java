package pipitstage.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import pipitstage.lab.history.Ask;
import pipitstage.lab.history.Costs;
import pipitstage.lab.history.History;
import pipitstage.lab.scenario.Draws;
import pipitstage.lab.scenario.Faults;
import pipitstage.lab.scenario.Scenario;

/**
 * What an endpoint does with calls: servers that work for a drawn time, a queue before them, a limit, failures, and a cold
 * return on which it falls over where it gets too much.
 */
public final class EndpointModel {
    private static final long SECOND = 1_000_000;
    private static final long CLOSES = 1_000;

    /**
     * What becomes of a call.
     *
     * @param ran it runs, or has run by the time of an answer
     * @param answerAt when the answer leaves; -1 where none does
     */
    public record Met(Ask.Answer answer, boolean ran, long answerAt) {}

    /** A limit that one partner's endpoints share, or that one has for itself: calls that were taken in the last second. */
    public static final class Limit {
        private final ArrayDeque<Long> taken = new ArrayDeque<>();
        private final double whole;
        private final boolean refusalsCount;
        /** What it is just now, where it has been lowered. */
        private double rate;

        /** So many calls a second, 0 for any; of which those that are refused may take their part. */
        public Limit(double rate, boolean refusalsCount) {
            whole = rate;
            this.rate = rate;
            this.refusalsCount = refusalsCount;
        }

        /** Whether it takes a call while it stands at a part of what it is. */
        boolean takes(long now, double part) {
            rate = whole * part;
            while (!taken.isEmpty() && now - taken.peek() >= SECOND) {
                taken.poll();
            }
            boolean takes = whole == 0 || taken.size() < Math.max(1, rate);
            if (takes || refusalsCount) {
                taken.add(now);
            }
            return takes;
        }

        /** The share of it that is left. */
        public double left() {
            return Math.max(0, 1 - taken.size() / Math.max(1, rate));
        }

        /** Calls a second that it takes just now. */
        public double rate() {
            return rate;
        }
    }

    private record Came(long at, boolean knew) {}

    /** Where more of its calls than that fail, an endpoint is out. */
    private static final double MOST = 0.5;

    private final Scenario.Endpoint endpoint;
    private final Scenario.Group group;
    private final Scenario.Rules rules;
    private final Faults faults;
    private final Limit limit;
    private final History history;
    private final UniformRandomProvider random;
    private final ContinuousSampler work;
    /** When each server is free, and when the calls that wait begin. */
    private final PriorityQueue<Long> free = new PriorityQueue<>();

    private final ArrayDeque<Long> begin = new ArrayDeque<>();
    /** How much longer a server is taken than a call lasts, so that the endpoint does what it is said to. */
    private final double rest;

    private final ArrayDeque<Came> lately = new ArrayDeque<>();
    /** Relays that have been told of a call or check that failed, or was refused, in the last outage. */
    private final Set<Integer> knowing = new HashSet<>();
    /** Relays that wait for an answer which does not come. */
    private final Set<Integer> unanswered = new HashSet<>();

    private boolean out;
    private int knowingLately;
    private boolean fallen;
    private long bucket;
    private int calls;

    private EndpointModel(
            Scenario.Endpoint endpoint,
            Scenario.Group group,
            Scenario.Rules rules,
            Faults faults,
            Limit limit,
            History history,
            UniformRandomProvider random) {
        this.endpoint = endpoint;
        this.group = group;
        this.rules = rules;
        this.faults = faults;
        this.limit = limit;
        this.history = history;
        this.random = random;
        double response = Math.max(1, group.response());
        double busy = group.capacity() * response / SECOND;
        int servers = (int) Math.max(1, Math.ceil(busy));
        rest = servers / busy;
        for (int i = 0; i < servers; i++) {
            free.add(0L);
        }
        double sigma = group.spread();
        work = sigma == 0
                ? () -> response
                : LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random), Math.log(response) - sigma * sigma / 2, sigma);
    }

    public Scenario.Endpoint endpoint() {
        return endpoint;
    }

    public Scenario.Group group() {
        return group;
    }

    public Limit limit() {
        return limit;
    }

    /** All endpoints of a layout, by number; those of a partner share its limit where routes are not apart. */
    public static List<EndpointModel> all(
            Scenario.Layout layout, Scenario.Rules rules, Faults faults, History history, long seed) {
        List<EndpointModel> all = new ArrayList<>();
        for (Scenario.Partner partner : layout.partners()) {
            Scenario.Group group = partner.group();
            Limit shared = new Limit(group.limit(), group.refusalsCount());
            for (Scenario.Endpoint e : partner.endpoints()) {
                all.add(new EndpointModel(
                        e,
                        group,
                        rules,
                        faults,
                        group.routesApart() ? new Limit(group.limit(), group.refusalsCount()) : shared,
                        history,
                        Draws.of(seed, "endpoint", e.number())));
            }
        }
        return all;
    }

    /** The wait that an answer tells, in microseconds; 0 for none. */
    public long toldWait(Met met) {
        return met.answer() == Ask.Answer.FULL ? group.toldWait() : 0;
    }

    /** A call of a relay has come; times may not go back. */
    public Met meet(int relay, long now) {
        return meet(relay, now, Costs.Of.CALLS);
    }

    /** A check has come, of a relay or of {@link Costs#NONE}. */
    public Met check(int relay, long now) {
        return meet(relay, now, Costs.Of.CHECKS);
    }

    private Met meet(int relay, long now, Costs.Of what) {
        Faults.State state = faults.state(endpoint.number(), now);
        count(now, state);
        if (state.meets() == Faults.Meets.CALLS && state.able() < 1) {
            watchFall(relay, now, state.able());
        }
        Met met = met(now, state);
        history.costs().count(what, relay, endpoint.number());
        Costs.Of wrong =
                switch (met.answer()) {
                    case FULL -> Costs.Of.REFUSED;
                    case UNREACHED -> Costs.Of.UNREACHED;
                    case NONE -> Costs.Of.UNANSWERED;
                    case DONE, FAULT -> null;
                };
        if (wrong != null) {
            history.costs().count(wrong, relay, endpoint.number());
        }
        boolean outage = fallen || state.meets() != Faults.Meets.CALLS || state.failing() > MOST;
        if (outage && !out) {
            knowing.clear();
            unanswered.clear();
        }
        out = outage;
        if (outage && met.answer() != Ask.Answer.DONE) {
            (met.answerAt() < 0 ? unanswered : knowing).add(relay);
        }
        return met;
    }

    /** A relay has stopped waiting for a call or check: where no answer was to come, it knows by now. */
    public void givenUpBy(int relay) {
        if (unanswered.remove(relay)) {
            knowing.add(relay);
        }
    }

    private Met met(long now, Faults.State state) {
        if (fallen || state.meets() == Faults.Meets.DOWN || state.meets() == Faults.Meets.GONE) {
            return new Met(Ask.Answer.UNREACHED, false, now);
        }
        if (state.meets() == Faults.Meets.SILENT) {
            return new Met(Ask.Answer.NONE, true, -1);
        }
        if (state.meets() == Faults.Meets.SHUT || !limit.takes(now, state.limited()) || isFull(now)) {
            return new Met(Ask.Answer.FULL, false, now + CLOSES);
        }
        if (random.nextDouble() < state.failing()) {
            return new Met(Ask.Answer.FAULT, random.nextBoolean(), now + CLOSES);
        }
        long lasts = (long) Math.max(1, work.sample() * state.slower() / state.able());
        long starts = Math.max(now, free.poll());
        free.add(starts + (long) (lasts * rest));
        begin.add(starts);
        long done = starts + lasts;
        // Guards against an answer from an endpoint that went down meanwhile: what it had begun may have run.
        Faults.Meets then = faults.state(endpoint.number(), done).meets();
        if (then == Faults.Meets.SILENT) {
            return new Met(Ask.Answer.NONE, true, -1);
        }
        boolean lost = then == Faults.Meets.DOWN || then == Faults.Meets.GONE;
        return lost ? new Met(Ask.Answer.NONE, true, done) : new Met(Ask.Answer.DONE, true, done);
    }

    private boolean isFull(long now) {
        while (!begin.isEmpty() && begin.peek() <= now) {
            begin.poll();
        }
        return begin.size() >= group.queue() && free.peek() > now;
    }

    private void count(long now, Faults.State state) {
        if (now / SECOND != bucket) {
            if (calls > 0) {
                history.loaded(
                        new History.Load(endpoint.number(), bucket * SECOND, calls, group.capacity() * state.able()));
            }
            bucket = now / SECOND;
            calls = 0;
        }
        calls++;
    }

    /** Cold, it falls over where it gets too many times what it can do. */
    private void watchFall(int relay, long now, double able) {
        boolean knew = knowing.contains(relay);
        lately.add(new Came(now, knew));
        knowingLately += knew ? 1 : 0;
        while (now - lately.peek().at() > rules.fallSpan()) {
            knowingLately -= lately.poll().knew() ? 1 : 0;
        }
        double most = rules.fallMultiple() * group.capacity() * able * rules.fallSpan() / SECOND;
        if (!fallen && lately.size() > Math.max(2, most)) {
            fallen = true;
            history.fell(new History.Fall(
                    endpoint.number(),
                    now,
                    lately.size(),
                    group.capacity() * able,
                    (double) knowingLately / lately.size()));
        }
    }
}
