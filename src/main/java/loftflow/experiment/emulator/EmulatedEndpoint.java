package loftflow.experiment.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RandomStreams;
import loftflow.experiment.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * What an endpoint does with calls: servers that work for a drawn time, a queue before them, a limit, failures, and a
 * cold
 * return on which it falls over where it gets too much.
 */
public final class EmulatedEndpoint {
    private static final long SECOND = 1_000_000;
    private static final long CLOSES = 1_000;

    /**
     * What becomes of a call.
     *
     * @param ran it runs, or has run by the time of an answer
     * @param answerAt when the answer leaves; -1 where none does
     */
    public record Met(MessageHistory.Answer answer, boolean ran, long answerAt) {}

    /**
     * A limit that one partner's endpoints share, or that one has for itself: calls that were taken in the last second.
     */
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
    private final FaultSchedule faults;
    private final Limit limit;
    private final RunHistory history;
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

    private EmulatedEndpoint(
            Scenario.Endpoint endpoint,
            Scenario.Group group,
            Scenario.Rules rules,
            FaultSchedule faults,
            Limit limit,
            RunHistory history,
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
    public static List<EmulatedEndpoint> all(
            Scenario.Layout layout, Scenario.Rules rules, FaultSchedule faults, RunHistory history, long seed) {
        List<EmulatedEndpoint> all = new ArrayList<>();
        for (Scenario.Partner partner : layout.partners()) {
            Scenario.Group group = partner.group();
            Limit shared = new Limit(group.limit(), group.refusalsCount());
            for (Scenario.Endpoint e : partner.endpoints()) {
                all.add(new EmulatedEndpoint(
                        e,
                        group,
                        rules,
                        faults,
                        group.routesApart() ? new Limit(group.limit(), group.refusalsCount()) : shared,
                        history,
                        RandomStreams.of(seed, "endpoint", e.number())));
            }
        }
        return all;
    }

    /** The wait that an answer tells, in microseconds; 0 for none. */
    public long toldWait(Met met) {
        return met.answer() == MessageHistory.Answer.FULL ? group.toldWait() : 0;
    }

    /** A call of a relay has come; times may not go back. */
    public Met meet(int relay, long now) {
        return meet(relay, now, CallCounts.Of.CALLS);
    }

    /** A check has come, of a relay or of {@link CallCounts#NONE}. */
    public Met check(int relay, long now) {
        return meet(relay, now, CallCounts.Of.CHECKS);
    }

    private Met meet(int relay, long now, CallCounts.Of what) {
        FaultSchedule.State state = faults.state(endpoint.number(), now);
        count(now, state);
        if (state.meets() == FaultSchedule.Meets.CALLS && state.able() < 1) {
            watchFall(relay, now, state.able());
        }
        Met met = met(now, state);
        history.costs().count(what, relay, endpoint.number());
        CallCounts.Of wrong =
                switch (met.answer()) {
                    case FULL -> CallCounts.Of.REFUSED;
                    case UNREACHED -> CallCounts.Of.UNREACHED;
                    case NONE -> CallCounts.Of.UNANSWERED;
                    case DONE, FAULT -> null;
                };
        if (wrong != null) {
            history.costs().count(wrong, relay, endpoint.number());
        }
        boolean outage = fallen || state.meets() != FaultSchedule.Meets.CALLS || state.failing() > MOST;
        if (outage && !out) {
            knowing.clear();
            unanswered.clear();
        }
        out = outage;
        if (outage && met.answer() != MessageHistory.Answer.DONE) {
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

    private Met met(long now, FaultSchedule.State state) {
        if (fallen || state.meets() == FaultSchedule.Meets.DOWN || state.meets() == FaultSchedule.Meets.GONE) {
            return new Met(MessageHistory.Answer.UNREACHED, false, now);
        }
        if (state.meets() == FaultSchedule.Meets.SILENT) {
            return new Met(MessageHistory.Answer.NONE, true, -1);
        }
        if (state.meets() == FaultSchedule.Meets.SHUT || !limit.takes(now, state.limited()) || isFull(now)) {
            return new Met(MessageHistory.Answer.FULL, false, now + CLOSES);
        }
        if (random.nextDouble() < state.failing()) {
            return new Met(MessageHistory.Answer.FAULT, random.nextBoolean(), now + CLOSES);
        }
        long lasts = (long) Math.max(1, work.sample() * state.slower() / state.able());
        long starts = Math.max(now, free.poll());
        free.add(starts + (long) (lasts * rest));
        begin.add(starts);
        long done = starts + lasts;
        // Guards against an answer from an endpoint that went down meanwhile: what it had begun may have run.
        FaultSchedule.Meets then = faults.state(endpoint.number(), done).meets();
        if (then == FaultSchedule.Meets.SILENT) {
            return new Met(MessageHistory.Answer.NONE, true, -1);
        }
        boolean lost = then == FaultSchedule.Meets.DOWN || then == FaultSchedule.Meets.GONE;
        return lost ? new Met(MessageHistory.Answer.NONE, true, done) : new Met(MessageHistory.Answer.DONE, true, done);
    }

    private boolean isFull(long now) {
        while (!begin.isEmpty() && begin.peek() <= now) {
            begin.poll();
        }
        return begin.size() >= group.queue() && free.peek() > now;
    }

    private void count(long now, FaultSchedule.State state) {
        if (now / SECOND != bucket) {
            if (calls > 0) {
                history.loaded(new RunHistory.Load(
                        endpoint.number(), bucket * SECOND, calls, group.capacity() * state.able()));
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
            history.fell(new RunHistory.Fall(
                    endpoint.number(),
                    now,
                    lately.size(),
                    group.capacity() * able,
                    (double) knowingLately / lately.size()));
        }
    }
}
