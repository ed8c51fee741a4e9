// The interface is DeliveryPolicy in policy.api: settings, events and actions. docs/design.md explains the mechanism.
package loftflow.policy;

import java.nio.ByteBuffer;
import java.util.*;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.DestinationKind;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListPending;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.KeyScope;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.MessageWithdrawn;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.PeerMessage;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TimerFired;
import loftflow.policy.api.TrustLevel;
import loftflow.policy.api.Zone;

/** Every decision of a relay: which route, when, how long, and whether to hold, refuse or fail. */
public final class DefaultDeliveryPolicy implements DeliveryPolicy {
    // Circuit.
    private static final int FAILURES_TO_OPEN = 3; // the source's
    private static final double CALLS_A_FAILURE = 2; // calls in ten seconds that ask for one failure more
    private static final long RECOVERY = 2_000_000; // outages last seconds
    private static final long TEST_SPACING = 1_000_000; // between tests when all relays test one destination
    private static final double JITTER = 1; // those that learned the same at once don't return at once
    private static final double UNHEALTHY = 0.5; // the source's error rate, which also opens
    private static final double WEIGHT = 0.2; // about the last five calls count

    // Score.
    private static final double NEAR_TOP = 20; // the source's span of the draw
    private static final long QUICK = 1_000_000; // the source's bonus
    private static final long SLUGGISH = 5_000_000; // the source's penalty
    private static final double SLOW_RATIO = 3; // times the destination's best that count as sluggish
    private static final double PLACE_BONUS = 8; // tilts the draw to near or cheap routes, can't decide it

    // Pace.
    private static final double PACE_GROWTH = 0.1; // the source's
    private static final double PACE_CUT = 0.5; // from few senders to a fleet in few refusals
    private static final double SCARCE_LEFT = 0.5; // of a limit: it is used up faster than it comes back
    private static final double SCARCE_CUT = 0.9; // gentle, as nothing has been refused yet
    private static final double ROOM_GROWTH = 0.3; // a second, where all of the limit is left
    private static final double LEAST_PACE = 3; // of all relays, where no limit is known
    private static final double FIRST_SENDERS = 12; // a clump of two seconds or so, spread over a fleet
    private static final long GROWTH_SPAN = 5_000_000; // one serve after a long rest proves little
    private static final long CUT_PAUSE = 500_000; // refusals so soon after a cut were sent before it
    private static final long SHUT_WAIT = 2_500_000; // longer than a counting window: the destination is shut
    private static final long SHUT_SPAN = 1_000_000; // refusals without a serve for so long: as good as shut

    // Release after an outage.
    private static final double RELEASE_MARGIN = 0.9; // of the rule's budget
    private static final double LEAST_RELEASE = 0.75; // of all relays where nothing else is known
    private static final double START_JITTER = 0.2; // of the pace after a restart: a fleet is not in step
    private static final double ROUGH_DIVISOR = 1.5; // a rough rate may be half too high

    // Time-outs and silence.
    private static final long TIMEOUT_FLOOR = 4_000_000; // slow calls must not be sent twice
    private static final long OVERDUE_FLOOR = 2_500_000; // later than most goals
    private static final double OVERDUE_RATIO = 8; // times the usual response: work varies that much
    private static final long TEST_TIMEOUT = 1_500_000; // a longer test has told enough
    private static final double TEST_RATIO = 4; // where the usual response is long
    private static final long FIRST_GUESS = 400_000; // response before the first answer
    private static final long STALE = 5_000_000; // a response so old says nothing of now

    // Overload.
    private static final double OVERLOAD = 0.02; // of a destination's messages that run out of time
    private static final double LOST_TO_TELL = 3; // in ten seconds: fewer say little
    private static final double OWED = 1e9; // above any class's worth

    // Slots.
    private static final double SLOT_SHARE = 0.5; // of one destination
    private static final double SCARCE_SLOT_SHARE = 0.2; // of a slow one, and of any while few slots are left
    private static final double SCARCE_FROM = 0.75; // of the slots out: those left are for other destinations

    // Notes.
    private static final long GUARD = 10_000_000; // how long trouble told of makes all ask for turns
    private static final long PATIENCE = 8_000_000; // a turn so late is lost: a relay goes by its own pace
    private static final double KEEPER_CUT = 0.8; // gentle, as a keeper hears the refusals of all
    private static final double MOST_FACTOR = 2; // a rough rate may be this much too low

    private static final long ROUND = 10_000; // rounds are no longer where a relay has time
    private static final long RATE_SPAN = 10_000_000; // a relay may call a destination once in so long
    private static final long LEAST_COUNTED = 2_500_000; // what came in a shorter time is no rate yet
    private static final double LEAST_TO_TELL = 12; // nor are few calls
    private static final long SECOND = 1_000_000;
    private static final long HORIZON = 2_000_000; // what those that wait now may wait longer
    private static final long WAKE = 1; // timer of whatever is due next
    private static final long ASK = 2; // timer of the list
    private static final long ASK_AGAIN = 3_000_000; // far within the span of the rule

    private final PolicySettings settings;
    /** True in a fleet so large that a relay's own calls tell it little of a destination. */
    private final boolean many;

    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, DestinationKind> kinds = new HashMap<>();
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Map<Integer, LimitGroup> groups = new HashMap<>();
    private final Set<LimitGroup> kept = new LinkedHashSet<>();
    private final Map<Long, PendingMessage> requests = new HashMap<>();
    private final Map<String, KeyQueue> lines = new HashMap<>();
    private final TreeSet<PendingMessage> ends = new TreeSet<>(
            Comparator.<PendingMessage>comparingLong(r -> r.deadline).thenComparingLong(r -> r.id));
    /** Destinations with messages waiting: a round costs what these cost, however many are known. */
    private final Set<Destination> busy = new LinkedHashSet<>();
    /** Calls out, oldest first; each takes a slot. */
    private final Set<Call> out = new LinkedHashSet<>();

    private long now;
    private PolicyActions actions;
    private int held;
    private long wakeAt = Long.MAX_VALUE;
    private boolean asked;
    private long awaitUntil;

    /** A module that starts knowing only its settings. */
    public DefaultDeliveryPolicy(PolicySettings settings) {
        this.settings = settings;
        many = settings.fleetSize() > FIRST_SENDERS;
        random = new SplittableRandom(settings.seed());
        settings.classes().forEach(type -> classes.put(type.name(), type));
        settings.kinds().forEach(kind -> kinds.put(kind.name(), kind));
    }

    @Override
    public void onRound(long now, List<PolicyEvent> events, PolicyActions actions) {
        this.now = now;
        this.actions = actions;
        askForList();
        for (PolicyEvent event : events) {
            absorb(event);
        }
        endOverdue();
        if (!events.stream().allMatch(DefaultDeliveryPolicy::onlyRestrains)) {
            dispatch();
            arm();
        }
    }

    /** Guards against a fleet whose every guard costs every relay a round's work: it lets nothing new go. */
    private static boolean onlyRestrains(PolicyEvent event) {
        return event instanceof PeerMessage e
                && e.payload().length > 0
                && PeerMessageType.of(e.payload()[0]) == PeerMessageType.GUARD;
    }

    private void absorb(PolicyEvent event) {
        if (event instanceof MessageAccepted e) {
            accept(e);
        } else if (event instanceof MessageResumed e) {
            resume(e);
        } else if (event instanceof AttemptCompleted e) {
            outcome(e);
        } else if (event instanceof MessageWithdrawn e) {
            Optional.ofNullable(requests.get(e.id())).filter(r -> !r.done).ifPresent(this::finish);
        } else if (event instanceof TimerFired e) {
            timer(e.timer());
        } else if (event instanceof EndpointListReceived e) {
            list(e);
        } else if (event instanceof RouteRestored e) {
            Optional.ofNullable(routes.get(e.snapshot().route())).ifPresent(r -> remember(r, e));
        } else if (event instanceof EndpointListPending e) {
            awaitUntil = now + e.maxWaitMicros();
        } else if (event instanceof ProbeCompleted e) {
            probed(e);
        } else if (event instanceof CompletionPending e) {
            ending(e.message());
        } else if (event instanceof CompletionAcknowledged e) {
            Optional.ofNullable(requests.get(e.id())).ifPresent(this::heard);
        } else if (event instanceof RetryAfterReceived e) {
            Optional.ofNullable(routes.get(e.route())).ifPresent(r -> heed(r.group, e.retryAfterMicros()));
        } else if (event instanceof PeerMessage e && e.payload().length == Integer.BYTES + 1) {
            ByteBuffer note = ByteBuffer.wrap(e.payload());
            hear(e.sender(), PeerMessageType.of(note.get()), note.getInt());
        }
    }

    private void accept(MessageAccepted e) {
        add(e);
        if (held >= settings.limits().maxOpenMessages()) {
            makeRoom();
        }
    }

    /** Past attempts count on; one without a known result may have run and can't be answered any more. */
    private void resume(MessageResumed e) {
        PendingMessage request = add(e.message());
        request.resumed = true;
        for (PastAttempt past : e.attempts()) {
            Attempt attempt = new Attempt(new Call(routes.get(past.route()), past.sentAtMicros(), false));
            attempt.result = past.outcome() == null ? AttemptOutcome.RESET : past.outcome();
            request.attempts.add(attempt);
            rest(request, attempt.result);
        }
        unhold(request);
        tryAgain(request);
    }

    private PendingMessage add(MessageAccepted e) {
        PendingMessage request = know(e);
        ends.add(request);
        count(request.destination.came);
        held++;
        hold(request);
        return request;
    }

    private PendingMessage know(MessageAccepted e) {
        RequestClass type = classes.get(e.requestClass());
        if (type == null) {
            throw new IllegalArgumentException("unknown request class " + e.requestClass());
        }
        PendingMessage request = new PendingMessage(e, type, destination(e.destination()));
        requests.put(request.id, request);
        if (request.key != null) {
            lines.computeIfAbsent(request.key, k -> new KeyQueue()).requests.add(request);
        }
        return request;
    }

    /** It holds up those behind it, and that is all. */
    private void ending(MessageAccepted e) {
        PendingMessage request = know(e);
        request.done = true;
        request.unheard = true;
        // How its last attempt ended may be unknown.
        rest(request, AttemptOutcome.RESET);
    }

    private void heard(PendingMessage request) {
        request.unheard = false;
        settle(request);
    }

    private void hold(PendingMessage request) {
        request.destination.waiting.add(request);
        busy.add(request.destination);
    }

    private void unhold(PendingMessage request) {
        request.destination.waiting.remove(request);
        if (request.destination.waiting.isEmpty()) {
            busy.remove(request.destination);
        }
    }

    private Destination destination(int number) {
        return destinations.computeIfAbsent(number, n -> new Destination());
    }

    /**
     * Guards against a full buffer, which would turn away worthy requests at the door unseen. What a
     * restart has found untried stays: whoever is refused for it can go elsewhere.
     */
    private void makeRoom() {
        busy.stream()
                .flatMap(destination -> destination.waiting.stream())
                .filter(request -> !request.isUntried() && refusable(request))
                .min(Comparator.comparingDouble(request -> value(request, now)))
                .ifPresent(this::end);
    }

    private boolean refusable(PendingMessage request) {
        return switch (request.type.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_BY_KEY -> request.type.keyScope() == KeyScope.ALL || firstThatMayHaveRun(request) == null;
            case NON_IDEMPOTENT -> firstThatMayHaveRun(request) == null;
        };
    }

    /** Ends a request that has no attempt out, undelivered. */
    private void end(PendingMessage request) {
        if (refusable(request)) {
            actions.reject(request.id, settings.limits().retryAfter() ? comeBackIn(request) : 0);
        } else {
            actions.fail(request.id);
        }
        finish(request);
    }

    /** When a route of the request's destination may be free again: what the client had better wait for. */
    private long comeBackIn(PendingMessage request) {
        long due = request.destination.routes.values().stream()
                .filter(route -> route.listed)
                .mapToLong(this::dueAt)
                .min()
                .orElse(Long.MAX_VALUE);
        return due == Long.MAX_VALUE ? SECOND : Math.max(SECOND / 2, due - now);
    }

    private void finish(PendingMessage request) {
        request.done = true;
        // Guards against a call for the next in order while the end of this one is told but not heard.
        request.unheard = request.key != null && !actions.isCompletionAcknowledged(request.id);
        held--;
        unhold(request);
        ends.remove(request);
        settle(request);
    }

    /** Forgets a finished request once no attempt of it is out. */
    private void settle(PendingMessage request) {
        if (!request.done || request.out > 0 || request.unheard) {
            return;
        }
        requests.remove(request.id);
        KeyQueue line = request.key == null ? null : lines.get(request.key);
        if (line != null) {
            line.requests.remove(request);
            if (line.requests.isEmpty() && line.restUntil <= now) {
                lines.remove(request.key);
            }
        }
    }

    private boolean hasTurn(PendingMessage request) {
        if (request.key == null) {
            return true;
        }
        KeyQueue line = lines.get(request.key);
        return line.requests.peek() == request && (!request.attempts.isEmpty() || line.restUntil <= now);
    }

    /** Ends what has run out of time; an attempt still out reports its own time-out. */
    private void endOverdue() {
        while (!ends.isEmpty() && ends.first().deadline <= now) {
            PendingMessage request = ends.pollFirst();
            if (request.out == 0) {
                count(request.destination.lost);
                end(request);
            }
        }
    }

    /** What a request would earn if it were delivered at a time. */
    private double value(PendingMessage request, long at) {
        RequestClass type = request.type;
        long age = at - request.acceptedAt;
        if (age <= type.latencyObjectiveMicros()) {
            return type.priorityWeight();
        }
        if (at >= request.deadline) {
            return 0;
        }
        double late = age - type.latencyObjectiveMicros();
        double part = settings.halvingDecay()
                ? Math.max(type.lateWeight(), Math.pow(0.5, late / Math.max(1, type.latencyObjectiveMicros())))
                : 1 - (1 - type.lateWeight()) * late / (type.deadlineMicros() - type.latencyObjectiveMicros());
        return type.priorityWeight() * part;
    }

    private void outcome(AttemptCompleted e) {
        PendingMessage request = requests.get(e.id());
        if (request == null || e.attempt() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(e.attempt());
        if (attempt.result != null) {
            return;
        }
        attempt.result = e.outcome();
        request.out--;
        Call call = attempt.call;
        if (--call.pending == 0) {
            out.remove(call);
            call.route.out.remove(call);
            call.route.group.calls--;
        }
        // Guards against a wait told to only some of the requests of one call.
        heed(call.route.group, e.retryAfterMicros());
        if (!call.judged) {
            call.judged = true;
            // Guards against blaming a route for a message that was sent shortly before its time was up.
            boolean early = e.outcome() == AttemptOutcome.TIMEOUT && e.elapsedMicros() < testTimeout(call.route);
            judge(
                    call,
                    early ? AttemptOutcome.NOT_SENT : e.outcome(),
                    e.retryAfterMicros(),
                    e.elapsedMicros(),
                    e.limitReport());
        }
        forgetIfGone(call.route);
        rest(request, e.outcome());
        if (request.done) {
            settle(request);
        } else if (e.closed()) {
            finish(request);
        } else if (request.out == 0) {
            tryAgain(request);
        }
    }

    private void heed(LimitGroup group, long toldWait) {
        if (toldWait > 0) {
            group.waitUntil = Math.max(group.waitUntil, now + toldWait);
        }
    }

    private void rest(PendingMessage request, AttemptOutcome result) {
        boolean answered = result == AttemptOutcome.OK || result == AttemptOutcome.ERROR;
        if (request.key != null && !answered && !result.isProvenNotExecuted()) {
            lines.get(request.key).restUntil = now + settings.rules().orderingPauseMicros();
            actions.setTimer(WAKE, settings.rules().orderingPauseMicros());
        }
    }

    private static Attempt firstThatMayHaveRun(PendingMessage request) {
        for (Attempt attempt : request.attempts) {
            if (attempt.result == null || !attempt.result.isProvenNotExecuted()) {
                return attempt;
            }
        }
        return null;
    }

    private void tryAgain(PendingMessage request) {
        boolean spent = request.attempts.size() >= settings.limits().maxAttempts();
        boolean ran = firstThatMayHaveRun(request) != null;
        if (now >= request.deadline || spent || ran && request.type.idempotency() == Idempotency.NON_IDEMPOTENT) {
            end(request);
        } else {
            hold(request);
        }
    }

    /** Lets one call's result count for its route and its group. */
    private void judge(Call call, AttemptOutcome result, long wait, long elapsed, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        if (report.limitPerSecond() > 0) {
            // Guards against a limit that is lowered, or comes back, of which a relay of many hears seldom.
            if (many && group.reportedRate > 0) {
                group.pace *= report.limitPerSecond() / group.reportedRate;
            }
            group.reportedRate = report.limitPerSecond();
        }
        if (call.test) {
            route.circuit.testing = false;
            group.circuit.testing = false;
        }
        if (result == AttemptOutcome.OK || result == AttemptOutcome.ERROR || result == AttemptOutcome.REJECTED) {
            route.answeredAt = now;
            route.provenFrom = Math.max(route.provenFrom, call.sentAt);
        }
        switch (result) {
            case OK -> served(call, elapsed, report);
            case ERROR, TIMEOUT, CONNECT_FAILED, CANCELLED -> failed(call, 1);
                // Guards against taking connections that break for a route that fails: that one refuses new ones.
            case RESET -> failed(call, 0);
            case REJECTED -> refused(call, wait, report);
            case NOT_SENT -> {}
        }
        if (result == AttemptOutcome.OK || result == AttemptOutcome.REJECTED) {
            route.unproven = false;
            route.last = false;
        }
    }

    private void served(Call call, long elapsed, LimitReport report) {
        Route route = call.route;
        LimitGroup group = route.group;
        route.errorRate *= 1 - WEIGHT;
        route.response = route.response == 0 ? elapsed : route.response + WEIGHT * (elapsed - route.response);
        group.refusals = 0;
        if (group.reports || group.circuit.state != CircuitState.CLOSED) {
            group.reports = false;
            report(group, PeerMessageType.SERVED);
        }
        count(group.served);
        grow(group, report);
        close(call, group.circuit, route);
        if (route.circuit != group.circuit) {
            close(call, route.circuit, route);
        }
    }

    /**
     * Guards, where a report tells what is left of the limit, against growth until all are refused: where
     * refused calls use the limit up too, nobody is served from then on.
     */
    private void grow(LimitGroup group, LimitReport report) {
        if (many && report.remainingShare() < SCARCE_LEFT) {
            if (now - group.cutAt >= CUT_PAUSE) {
                group.cutAt = now;
                group.pace = Math.max(part(group), Math.min(group.pace, usual(group.sent)) * SCARCE_CUT);
            }
        } else if (many && report.remainingShare() >= SCARCE_LEFT) {
            // The report speaks for all relays, and for the whole time since this one was served last.
            double room = (report.remainingShare() - SCARCE_LEFT) / (1 - SCARCE_LEFT);
            double grown = Math.pow(1 + ROOM_GROWTH * room, (now - group.grownAt) / (double) SECOND);
            group.pace = Math.max(part(group), group.pace * grown);
        } else if (group.seeking) {
            group.pace *= Math.pow(2, Math.min(1, (now - group.grownAt) / (double) CUT_PAUSE));
        } else {
            group.pace *= growth(group.grownAt);
        }
        group.grownAt = now;
    }

    /** Regrowth since a time, for a span that the serves seen speak for. */
    private double growth(long since) {
        return Math.pow(1 + PACE_GROWTH, Math.min(GROWTH_SPAN, now - since) / (double) SECOND);
    }

    private void close(Call call, Circuit circuit, Route route) {
        boolean failed = circuit.run > 0;
        if (circuit.state == CircuitState.CLOSED) {
            circuit.run = 0;
            return;
        }
        // Guards against answers from a partner's queue, which tell of the time before it fell silent.
        if (call.sentAt < circuit.failedFrom) {
            return;
        }
        circuit.run = 0;
        boolean older = call.sentAt < circuit.openedAt;
        if (older && (!circuit.bySilence || mute(route, 1))) {
            return;
        }
        circuit.state = CircuitState.CLOSED;
        route.errorRate = 0;
        if (circuit == route.group.circuit && !circuit.forCheck) {
            if (!older || failed) {
                route.group.releasedAt = now;
                route.group.nextAt = now + interval(releaseRate(route.group, now));
            }
            actions.log("serves again: " + route.name);
        }
        circuit.forCheck = false;
    }

    private void failed(Call call, int weight) {
        Route route = call.route;
        LimitGroup group = route.group;
        route.errorRate += WEIGHT * (1 - route.errorRate);
        route.circuit.run += weight;
        route.circuit.failedFrom = Math.max(route.circuit.failedFrom, weight * call.sentAt);
        boolean bad = route.circuit.run >= failuresToOpen(group) || route.errorRate > UNHEALTHY;
        if (bad || route.circuit.state != CircuitState.CLOSED && call.test) {
            open(route.circuit, group, false, 0);
        }
        if (group.circuit != route.circuit) {
            group.circuit.run += weight;
            group.circuit.failedFrom = Math.max(group.circuit.failedFrom, weight * call.sentAt);
            boolean noneLeft = group.routes.stream().noneMatch(r -> r.listed && r.circuit.state == CircuitState.CLOSED);
            if (group.circuit.run >= FAILURES_TO_OPEN || noneLeft) {
                open(group.circuit, group, false, 0);
            }
        }
        if (group.reports || route.circuit.state == CircuitState.OPEN) {
            report(group, PeerMessageType.FAILED);
        }
        if (releasing(group)) {
            // Guards against release into an outage that goes on: a failure puts the release back.
            group.releasedAt = now;
        }
    }

    private void refused(Call call, long wait, LimitReport report) {
        LimitGroup group = call.route.group;
        // Guards against taking a limit that a whole fleet has overrun for a destination that shut: each
        // relay sees refusals alone then. Where it is not used up, or all keep to their parts, it has shut.
        boolean usedUp = limit(group) > 0 && report.remainingShare() < SCARCE_LEFT;
        if (usedUp && group.pace > part(group)) {
            group.refusals = 0;
        }
        if (group.refusals++ == 0) {
            group.refusedSince = now;
        }
        // Guards against a shut destination, which refuses like one above its limit but returns cold.
        // A report is some hundred milliseconds old: a rest that it tells proves nothing of a first refusal.
        int enough = many && report.remainingShare() >= SCARCE_LEFT ? FAILURES_TO_OPEN - 1 : FAILURES_TO_OPEN;
        boolean shut = wait > SHUT_WAIT || group.refusals >= enough && now - group.refusedSince >= SHUT_SPAN;
        if (shut || group.circuit.state != CircuitState.CLOSED) {
            open(group.circuit, group, false, wait);
        }
        if (call.test && call.route.circuit.state != CircuitState.CLOSED) {
            // Guards against a route that refuses its test and would be tested again at once.
            open(call.route.circuit, group, false, wait);
        }
        // Guards against one burst that counts again and again: what was sent before a cut proves nothing.
        if (call.sentAt >= group.cutAt && now - group.cutAt >= CUT_PAUSE) {
            cut(group);
        }
        long until = Math.max(now, group.waitUntil);
        group.nextAt = Math.max(group.nextAt, until + spread(interval(group.pace)));
        report(group, PeerMessageType.REFUSED);
    }

    /**
     * This relay's part of what a group takes from all: an equal one, or what its own clients ask as far as
     * even a cold destination bears. Guards against relays with several times the mean, which would wait.
     * Where a call carries several messages, a part is calls: what this relay needs when they are full.
     */
    private double part(LimitGroup group) {
        double equal = (limit(group) > 0 ? limit(group) : LEAST_PACE) / settings.fleetSize();
        if (!many || limit(group) == 0) {
            return equal;
        }
        Destination destination = group.routes.get(0).destination;
        long groups = destination.routes.values().stream()
                .map(route -> route.group)
                .distinct()
                .count();
        double asked = usual(destination.came) / groups;
        int batch = batch(group.routes.get(0));
        if (batch > 1 && tells(destination.came)) {
            // Guards against calls of one message, by who is asked for little, that full calls wait for.
            return Math.max(equal, asked) / batch;
        }
        // Guards against a limit of calls that a whole fleet overruns for good by counting messages.
        return Math.max(equal, Math.min(1, bearable(now)) * asked / batch);
    }

    /**
     * The limit over sender count, which refusals teach: an equal part is too little for who has a clump.
     * Guards too against a pace that is none, since this relay sends less: many such cuts change nothing.
     */
    private void cut(LimitGroup group) {
        group.cutAt = now;
        group.grownAt = now;
        double senders = Math.min(FIRST_SENDERS, settings.fleetSize());
        double clump = part(group) * settings.fleetSize() / senders;
        if (limit(group) > 0) {
            clump = Math.max(part(group), Math.min(clump, usual(group.sent) * PACE_CUT));
        }
        group.seeking = limit(group) == 0 && group.pace == Double.POSITIVE_INFINITY;
        group.pace = group.pace == Double.POSITIVE_INFINITY
                ? Math.max(clump, rate(group.served) / 2)
                : Math.max(part(group), group.pace * PACE_CUT);
    }

    private void open(Circuit circuit, LimitGroup group, boolean bySilence, long wait) {
        if (circuit.state == CircuitState.CLOSED) {
            circuit.openedAt = now;
            circuit.bySilence = bySilence;
            if (circuit == group.circuit) {
                if (!releasing(group)) {
                    group.usualRate = usual(group.sent);
                }
                actions.log("out: " + group.routes.get(0).name + (bySilence ? ", silent" : ""));
            }
        }
        circuit.state = CircuitState.OPEN;
        circuit.forCheck = false;
        circuit.until = now + Math.max(wait, testPause(group));
    }

    /**
     * Guards against a fleet that tests a destination to death: a relay tests as often as its part of the
     * calls lets a cold destination bear. Harms what is parked at one that calls rarely: it waits long.
     */
    private long testPause(LimitGroup group) {
        long longest = settings.fleetSize() * TEST_SPACING;
        return spread(Math.max(RECOVERY, Math.min(interval(releaseRate(group, now)), longest)));
    }

    private long spread(long pause) {
        return (long) (pause * (1 - JITTER / 2 + JITTER * random.nextDouble()));
    }

    /** Who calls a destination rarely can't wait for three failures; a single error costs it a pause. */
    private static int failuresToOpen(LimitGroup group) {
        return (int) Math.max(1, Math.min(FAILURES_TO_OPEN, group.sent.count / CALLS_A_FAILURE));
    }

    private void probed(ProbeCompleted e) {
        Route route = routes.get(e.route());
        if (route != null) {
            // Guards against calls that follow a probe which was told to wait.
            heed(route.group, e.retryAfterMicros());
            Call probe = new Call(route, now - e.elapsedMicros(), true);
            judge(probe, e.outcome(), e.retryAfterMicros(), e.elapsedMicros(), e.limitReport());
        }
    }

    /** Calls a second that the group takes from all relays, as reported or listed; 0 where unknown. */
    private double limit(LimitGroup group) {
        double listed = group.routes.stream()
                .filter(r -> r.listed)
                .mapToDouble(r -> r.rate)
                .max()
                .orElse(0);
        double hint =
                switch (settings.rateHint()) {
                    case NONE -> 0;
                    case NOMINAL -> listed;
                    case ROUGH -> listed / ROUGH_DIVISOR;
                };
        return group.reportedRate > 0 ? group.reportedRate : hint;
    }

    /** Events a second over the last {@link #RATE_SPAN} or so. */
    private double rate(DecayingCounter rate) {
        return rate.count * Math.exp((rate.at - now) / (double) RATE_SPAN) * SECOND / RATE_SPAN;
    }

    /** As above; a count that began less than the span ago is no smaller for that, if it tells. */
    private double usual(DecayingCounter rate) {
        return rate(rate) / (tells(rate) ? 1 - Math.exp((rate.since - now) / (double) RATE_SPAN) : 1);
    }

    private boolean tells(DecayingCounter rate) {
        return rate.count >= LEAST_TO_TELL && now - rate.since >= LEAST_COUNTED;
    }

    private void count(DecayingCounter rate) {
        rate.since = rate.since == 0 ? now : rate.since;
        rate.count = 1 + rate.count * Math.exp((rate.at - now) / (double) RATE_SPAN);
        rate.at = now;
    }

    private boolean releasing(LimitGroup group) {
        return now - group.releasedAt < settings.rules().warmUpMicros();
    }

    /** How much of its usual calls a destination bears since its return: it warms up evenly. */
    private double bearable(long since) {
        double warm = (now - since) / (double) Math.max(1, settings.rules().warmUpMicros());
        double part = settings.rules().coldCapacityShare() * (1 - warm) + warm;
        return RELEASE_MARGIN * settings.rules().overloadMultiple() * part;
    }

    /** Calls a second of this relay that a group bears since its return. */
    private double releaseRate(LimitGroup group, long since) {
        double usual = Math.max(group.usualRate, limit(group) / settings.fleetSize());
        return Math.max(LEAST_RELEASE / settings.fleetSize(), bearable(since) * usual);
    }

    private double paceOf(LimitGroup group) {
        return releasing(group) ? Math.min(group.pace, releaseRate(group, group.releasedAt)) : group.pace;
    }

    private static long interval(double rate) {
        return rate == Double.POSITIVE_INFINITY ? 0 : (long) (SECOND / rate);
    }

    /** When a call is overdue by its route's own measure: it will hardly be answered any more. */
    private long overdueAt(Call call) {
        return call.sentAt + (long) Math.max(OVERDUE_FLOOR, OVERDUE_RATIO * response(call.route));
    }

    /** True where a call has been out for such a part of its span, and nothing sent since was answered. */
    private boolean mute(Route route, double part) {
        for (Call call : route.out) {
            // Guards against answers from a queue: what was sent before tells nothing of this call.
            if (call.sentAt >= route.provenFrom) {
                return now - call.sentAt >= part * (overdueAt(call) - call.sentAt);
            }
        }
        return false;
    }

    /** Guards against silence, which would cost three time-outs before the circuit opens. */
    private void openIfMute(Route route) {
        boolean enough = route.out.size() >= Math.min(2, failuresToOpen(route.group));
        if (enough && route.circuit.state == CircuitState.CLOSED && mute(route, 1)) {
            open(route.circuit, route.group, true, 0);
        }
    }

    /** Expected response time; what has not been tried lately is taken as well again, so that it is tried. */
    private double response(Route route) {
        boolean stale = route.out.isEmpty() && now - route.answeredAt > STALE;
        return route.response == 0 || stale ? FIRST_GUESS : route.response;
    }

    /** Guards against one destination, above all a slow one, that holds every slot. */
    private boolean crowded(LimitGroup group, Route route) {
        int slots = settings.limits().maxConcurrentCalls();
        boolean slow = route.response > SLUGGISH / 2 || mute(route, 0.5);
        boolean scarce = slow || out.size() > slots * SCARCE_FROM;
        double part = scarce ? SCARCE_SLOT_SHARE : SLOT_SHARE;
        return group.calls >= (int) Math.ceil(slots * part);
    }

    private boolean usable(Route route) {
        LimitGroup group = route.group;
        openIfMute(route);
        return route.listed
                && now >= group.waitUntil
                && mayGo(group)
                && route.circuit.state == CircuitState.CLOSED
                && group.circuit.state == CircuitState.CLOSED
                && !(route.out.size() >= 2 && mute(route, 0.5))
                && !crowded(group, route);
    }

    private double score(Route route, double best) {
        double score = 100 - route.errorRate * 50 - route.circuit.run * 10;
        score -= route.errorRate > UNHEALTHY ? 50 : 0;
        score += response(route) < QUICK ? 20 : 0;
        score -= response(route) > Math.min(SLUGGISH, SLOW_RATIO * Math.max(FIRST_GUESS, best)) ? 30 : 0;
        return Math.max(0, score + route.placeBonus);
    }

    private double placeBonus(String zone) {
        double dearest = settings.zones().stream().mapToDouble(Zone::cost).max().orElse(0);
        if (dearest > 0) {
            double toll = settings.zones().stream()
                    .filter(z -> z.name().equals(zone))
                    .mapToDouble(Zone::cost)
                    .findFirst()
                    .orElse(dearest);
            return PLACE_BONUS * (1 - toll / dearest);
        }
        return zone.equals(settings.zone()) ? PLACE_BONUS : 0;
    }

    /** True where the repeat rules let the request go to the route now. */
    private boolean allowed(PendingMessage request, Route route) {
        Attempt first = firstThatMayHaveRun(request);
        if (first == null || request.type.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (request.type.idempotency() == Idempotency.NON_IDEMPOTENT
                || now >= first.call.sentAt + request.type.keyWindowMicros()) {
            return false;
        }
        return switch (request.type.keyScope()) {
            case ALL -> true;
            case ZONE -> first.call.route != null && first.call.route.zone.equals(route.zone);
            case CELL -> first.call.route == route;
        };
    }

    private boolean anyAllowed(PendingMessage request, List<Route> routes) {
        for (Route route : routes) {
            if (allowed(request, route)) {
                return true;
            }
        }
        return false;
    }

    private Route pick(PendingMessage request, List<Route> usable) {
        List<Route> open = new ArrayList<>(usable);
        open.removeIf(route -> !allowed(request, route));
        if (open.size() > 1) {
            open.remove(request.lastRoute());
        }
        return draw(open);
    }

    private Route draw(List<Route> open) {
        double best = Double.MAX_VALUE;
        for (Route route : open) {
            best = Math.min(best, response(route));
        }
        double[] scores = new double[open.size()];
        double top = 0;
        for (int i = 0; i < scores.length; i++) {
            scores[i] = score(open.get(i), best);
            top = Math.max(top, scores[i]);
        }
        double sum = 0;
        for (int i = 0; i < scores.length; i++) {
            scores[i] = scores[i] < top - NEAR_TOP ? 0 : scores[i] + 1;
            sum += scores[i];
        }
        double at = random.nextDouble() * sum;
        int i = 0;
        while (i < scores.length - 1 && at >= scores[i]) {
            at -= scores[i++];
        }
        return open.get(i);
    }

    private record Candidate(PendingMessage request, Route route, double loss) {}

    private void dispatch() {
        // Guards against a host that was told to be draining while this relay was down.
        if (now < awaitUntil) {
            return;
        }
        var candidates = new PriorityQueue<>(
                Comparator.comparingDouble(Candidate::loss).reversed().thenComparingLong(c -> c.request.id));
        kept.forEach(this::giveTurns);
        kept.removeIf(group -> group.keeper.askers.isEmpty());
        for (Destination destination : List.copyOf(busy)) {
            test(destination);
            addCandidate(destination, candidates);
        }
        while (!candidates.isEmpty() && out.size() < settings.limits().maxConcurrentCalls()) {
            Candidate next = candidates.poll();
            call(next.request, next.route, false);
            addCandidate(next.request.destination, candidates);
        }
        dropOverdue(candidates.size());
        busy.forEach(this::wantTurns);
    }

    /** Guards against calls whose answers are lost, which would hold every slot until their time is up. */
    private void dropOverdue(int wanted) {
        if (wanted == 0 || !settings.limits().cancellation()) {
            return;
        }
        List<Call> overdue = out.stream()
                .filter(call -> !call.dropped && overdueAt(call) <= now)
                .limit(wanted)
                .toList();
        for (Call call : overdue) {
            call.dropped = true;
            for (PendingMessage request : call.requests) {
                for (int i = 0; i < request.attempts.size(); i++) {
                    if (request.attempts.get(i).call == call && request.attempts.get(i).result == null) {
                        actions.cancel(request.id, i);
                    }
                }
            }
        }
    }

    private void addCandidate(Destination destination, PriorityQueue<Candidate> candidates) {
        if (destination.waiting.isEmpty()) {
            return;
        }
        List<Route> usable = new ArrayList<>(destination.routes.values());
        usable.removeIf(route -> !usable(route));
        if (usable.isEmpty()) {
            return;
        }
        PendingMessage best = null;
        double most = -1;
        for (PendingMessage request : destination.waiting) {
            double loss = loss(request, usable.get(0));
            boolean earlier = best != null && loss == most && request.deadline < best.deadline;
            if ((loss > most || earlier)
                    && hasTurn(request)
                    && inTime(request, usable.get(0))
                    && anyAllowed(request, usable)) {
                best = request;
                most = loss;
            }
        }
        if (best != null) {
            candidates.add(new Candidate(best, pick(best, usable), most));
        }
    }

    /**
     * What a request loses if others go first for a while. Where messages run out of time, one that waits is
     * lost: saving the oldest each time would deliver all of them late.
     */
    private double loss(PendingMessage request, Route route) {
        long arrival = now + (long) response(route);
        Destination destination = request.destination;
        double lost = rate(destination.lost);
        boolean overloaded = lost > OVERLOAD * rate(destination.came) && lost * RATE_SPAN > LOST_TO_TELL * SECOND;
        // Guards what a restart has found untried, whose worth has faded, against new ones that pass it by.
        double owed = request.isUntried() ? OWED : 0;
        return owed + value(request, arrival) - (overloaded ? 0 : value(request, arrival + HORIZON));
    }

    /** Guards against calls that can't be answered in time any more. */
    private boolean inTime(PendingMessage request, Route route) {
        return request.deadline - now > response(route) / 2;
    }

    /** Within pace; while all ask for turns, with a turn or after waiting for one in vain. */
    private boolean mayGo(LimitGroup group) {
        return now >= group.nextAt
                && (now >= group.guardedUntil || now < group.turnUntil || group.asked && !waits(group));
    }

    /**
     * Guards, where relays may send notes, against hundreds of relays that each see too little to keep a pace
     * or to find an outage: trouble is told to the group's keeper, which all know by the group's number and
     * which gives turns one at a time. A lost note, or a dead keeper, costs {@link #PATIENCE}.
     */
    private void report(LimitGroup group, PeerMessageType word) {
        if (!settings.limits().peerMessages()) {
            return;
        }
        if (word != PeerMessageType.SERVED) {
            group.asked = true;
            group.askedAt = now;
        }
        tell(Math.floorMod(group.number, settings.fleetSize()), word, group.number);
    }

    private void tell(int relay, PeerMessageType word, int number) {
        if (relay == settings.relayIndex()) {
            hear(relay, word, number);
        } else {
            ByteBuffer note = ByteBuffer.allocate(Integer.BYTES + 1);
            actions.sendToPeer(
                    relay, note.put((byte) word.ordinal()).putInt(number).array());
        }
    }

    private void hear(int from, PeerMessageType word, int number) {
        LimitGroup group = groups.get(number);
        if (group == null) {
            return;
        }
        switch (word) {
            case TURN, TEST -> turn(group, word == PeerMessageType.TEST);
            case GUARD -> group.guardedUntil = now + GUARD;
            case WANT, REFUSED, FAILED, SERVED -> keep(group, from, word);
            case NONE -> {}
        }
    }

    private void turn(LimitGroup group, boolean test) {
        group.asked = false;
        group.reports = test;
        group.nextAt = now;
        group.turnUntil = now + SECOND;
        group.circuit.until = now;
        group.routes.forEach(route -> route.circuit.until = now);
    }

    private void keep(LimitGroup group, int from, PeerMessageType word) {
        PermitLedger keeper = group.keeper;
        if (word == PeerMessageType.SERVED) {
            keeper.upAt = keeper.failures >= FAILURES_TO_OPEN ? now : keeper.upAt;
            keeper.failures = 0;
            return;
        }
        keeper.failures += word == PeerMessageType.FAILED ? 1 : 0;
        if (word == PeerMessageType.REFUSED && now - keeper.cutAt >= CUT_PAUSE) {
            keeper.factor *= KEEPER_CUT;
            keeper.cutAt = now;
        }
        keeper.askers.add(from);
        kept.add(group);
        if (now - keeper.guardedAt > GUARD - SECOND && (word != PeerMessageType.WANT || keeper.askers.size() > 1)) {
            keeper.guardedAt = now;
            group.guardedUntil = now + GUARD;
            tell(-1, PeerMessageType.GUARD, group.number);
        }
    }

    /** Gives the turns that are due: tests while a destination fails, then as many as it bears. */
    private void giveTurns(LimitGroup group) {
        PermitLedger keeper = group.keeper;
        while (!keeper.askers.isEmpty() && now >= keeper.nextAt) {
            int relay = keeper.askers.iterator().next();
            keeper.askers.remove(relay);
            boolean down = keeper.failures >= FAILURES_TO_OPEN;
            keeper.nextAt = Math.max(keeper.nextAt, now - SECOND / 2)
                    + (down ? TEST_SPACING : interval(turnRate(group, keeper)));
            tell(relay, down ? PeerMessageType.TEST : PeerMessageType.TURN, group.number);
        }
    }

    private double turnRate(LimitGroup group, PermitLedger keeper) {
        double limit = limit(group) == 0 ? LEAST_PACE : limit(group);
        keeper.factor = Math.min(MOST_FACTOR, keeper.factor * growth(keeper.grownAt));
        keeper.grownAt = now;
        boolean warm = now - keeper.upAt >= settings.rules().warmUpMicros();
        return limit * (warm ? keeper.factor : Math.min(keeper.factor, bearable(keeper.upAt)));
    }

    private boolean waits(LimitGroup group) {
        return group.asked && now < group.askedAt + PATIENCE;
    }

    private void wantTurns(Destination destination) {
        for (Route route : destination.routes.values()) {
            LimitGroup group = route.group;
            if (route.listed && now < group.guardedUntil && !waits(group) && now >= group.turnUntil) {
                report(group, PeerMessageType.WANT);
            }
        }
    }

    private boolean testable(Circuit circuit) {
        if (circuit.state == CircuitState.OPEN && now >= circuit.until) {
            circuit.state = CircuitState.HALF_OPEN;
        }
        return circuit.state == CircuitState.HALF_OPEN && !circuit.testing;
    }

    private void test(Destination destination) {
        for (Route route : destination.routes.values()) {
            boolean whole = route.group.circuit.state != CircuitState.CLOSED;
            Circuit circuit = whole ? route.group.circuit : route.circuit;
            // Guards against a group that is tested again and again by its one dead route.
            boolean better = whole
                    && route.group.routes.stream()
                            .anyMatch(other -> other.listed && other.circuit.run < route.circuit.run);
            if (route.listed
                    && !better
                    && !spared(route)
                    && testable(circuit)
                    && now >= route.group.waitUntil
                    && out.size() < settings.limits().maxConcurrentCalls()) {
                sendTest(destination, route, circuit);
            }
        }
    }

    /** True where a route is the last to be tried and its destination has one that has not failed. */
    private static boolean spared(Route route) {
        return route.last
                && route.destination.routes.values().stream()
                        .anyMatch(other -> other.listed
                                && !other.last
                                && (other.circuit.state == CircuitState.CLOSED || other.errorRate == 0));
    }

    private void sendTest(Destination destination, Route route, Circuit circuit) {
        // Guards against a test that only tells that its message's time was up.
        PendingMessage chosen = destination.waiting.stream()
                .filter(r -> hasTurn(r) && allowed(r, route) && r.deadline - now >= testTimeout(route))
                .min(Comparator.comparingInt(DefaultDeliveryPolicy::testCost))
                .orElse(null);
        if (chosen == null) {
            return;
        }
        circuit.testing = true;
        // Guards against a test in vain that leaves a request with nowhere to go.
        // Guards too against a message for an address that may be another's by now: a check goes there first.
        boolean free = !route.unproven
                && (chosen.type.idempotency() == Idempotency.IDEMPOTENT
                        || chosen.type.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                                && chosen.type.keyScope() == KeyScope.ALL);
        if (!free && settings.limits().probes()) {
            count(route.group.sent);
            actions.probe(route.name);
        } else {
            call(chosen, route, true);
        }
    }

    /** Tests go by the request that loses least by an attempt in vain. */
    private static int testCost(PendingMessage request) {
        int cost = request.type.idempotency().ordinal() * 100 + request.attempts.size();
        return cost + (firstThatMayHaveRun(request) == null ? 0 : 50);
    }

    private void call(PendingMessage request, Route route, boolean test) {
        Call call = new Call(route, now, test);
        out.add(call);
        route.group.calls++;
        route.out.add(call);
        count(route.group.sent);
        route.group.turnUntil = now;
        // Guards against a quick pace of which a round lets one call go, however many its interval holds.
        route.group.nextAt = Math.max(route.group.nextAt, now - ROUND) + interval(paceOf(route.group));
        send(request, call);
        int room = test ? 0 : batch(route) - 1;
        if (room > 0) {
            for (PendingMessage other : List.copyOf(request.destination.waiting)) {
                if (call.pending <= room && hasTurn(other) && allowed(other, route)) {
                    send(other, call);
                }
            }
        }
    }

    /** How many messages travel in one call to a route. */
    private int batch(Route route) {
        DestinationKind kind = kinds.get(route.kind);
        return kind == null ? 1 : kind.maxBatchSize();
    }

    private void send(PendingMessage request, Call call) {
        // Guards against a repeat that waits for a connection until its destination has forgotten the key.
        Attempt first =
                request.type.idempotency() == Idempotency.IDEMPOTENT_BY_KEY ? firstThatMayHaveRun(request) : null;
        long windowLeft = first == null ? 0 : first.call.sentAt + request.type.keyWindowMicros() - now;
        unhold(request);
        request.attempts.add(new Attempt(call));
        request.out++;
        call.pending++;
        call.requests.add(request);
        actions.send(request.id, call.route.name, timeout(request, call), windowLeft);
    }

    private long timeout(PendingMessage request, Call call) {
        boolean last = request.type.idempotency() == Idempotency.NON_IDEMPOTENT
                || request.attempts.size() >= settings.limits().maxAttempts();
        if (last) {
            return 0;
        }
        return call.test
                ? testTimeout(call.route)
                : Math.max(TIMEOUT_FLOOR, (long) (OVERDUE_RATIO * response(call.route)));
    }

    private long testTimeout(Route route) {
        return Math.max(TEST_TIMEOUT, (long) (TEST_RATIO * response(route)));
    }

    private void list(EndpointListReceived e) {
        if (e.kind() == EndpointListKind.FAILED) {
            actions.setTimer(ASK, spread(ASK_AGAIN));
            return;
        }
        awaitUntil = now;
        if (e.kind() != EndpointListKind.DELTA) {
            routes.values().forEach(route -> route.listed = false);
        }
        for (EndpointEntry entry : e.entries()) {
            Route route = routes.computeIfAbsent(entry.route(), name -> newRoute(entry));
            route.listed = entry.availability() == Availability.LISTED;
            route.rate = entry.ratePerSecond();
            route.unproven &= e.kind() == EndpointListKind.CACHED;
            route.last &= route.unproven;
        }
        List.copyOf(routes.values()).forEach(this::forgetIfGone);
    }

    /**
     * Guards against a fleet that starts at once and sends what each held: a route goes on at this relay's
     * part of what all may send, and grows with serves. One that was out, or that is not believed, is tested
     * and then released. A check goes ahead of any message, for an address that may be another's by now.
     */
    private void remember(Route route, RouteRestored e) {
        TrustLevel belief = e.trust();
        RouteSnapshot known = e.snapshot();
        LimitGroup group = route.group;
        group.waitUntil = Math.max(group.waitUntil, now + known.retryAfterRemainingMicros());
        group.reportedRate = group.reportedRate > 0 ? group.reportedRate : known.limitPerSecond();
        route.response = known.responseTimeMicros();
        route.answeredAt = now;
        boolean sound = belief == TrustLevel.AS_LISTED && !known.circuitOpen();
        route.unproven = !sound || settings.limits().probes();
        route.last = belief == TrustLevel.LAST_RESORT;
        // Guards against a fleet whose relays' parts add up to more than the limit that is known.
        group.usualRate = limit(group) > 0 ? 0 : Math.max(group.usualRate, known.usualRatePerSecond());
        double least = limit(group) > 0
                ? limit(group) / settings.fleetSize()
                : LEAST_PACE / Math.min(FIRST_SENDERS, settings.fleetSize());
        double part = Math.max(least, known.usualRatePerSecond()) * (1 - START_JITTER * random.nextDouble());
        group.pace = Math.min(group.pace, part);
        group.grownAt = now;
        group.nextAt = Math.max(group.nextAt, now + (long) (random.nextDouble() * interval(part)));
        if (route.unproven) {
            startOut(route.circuit, group, sound);
            if (group.routes.stream().allMatch(r -> r.circuit.state != CircuitState.CLOSED)) {
                startOut(group.circuit, group, group.routes.stream().allMatch(r -> r.circuit.forCheck));
            }
        }
        if (sound && known.warmUpRemainingMicros() > 0) {
            group.releasedAt = now - settings.rules().warmUpMicros() + known.warmUpRemainingMicros();
        }
    }

    /** Out from the start; the first test comes at a time of this relay's own, as a cold route bears it. */
    private void startOut(Circuit circuit, LimitGroup group, boolean forCheck) {
        circuit.state = CircuitState.OPEN;
        circuit.openedAt = now;
        circuit.forCheck = forCheck;
        circuit.until = forCheck
                ? group.nextAt
                : now
                        + (long) (random.nextDouble()
                                * Math.min(interval(releaseRate(group, now)), settings.fleetSize() * TEST_SPACING));
    }

    @Override
    public List<RouteSnapshot> routeSnapshots(long now) {
        this.now = now;
        return routes.values().stream()
                .filter(route -> route.listed)
                .map(this::standing)
                .toList();
    }

    private static boolean isOut(Circuit circuit) {
        return circuit.state != CircuitState.CLOSED && !circuit.forCheck;
    }

    private RouteSnapshot standing(Route route) {
        LimitGroup group = route.group;
        boolean out = isOut(route.circuit) || isOut(group.circuit);
        long warmLeft = Math.max(0, group.releasedAt + settings.rules().warmUpMicros() - now);
        return new RouteSnapshot(
                route.name,
                Math.max(0, group.waitUntil - now),
                group.reportedRate,
                out || warmLeft > 0 ? group.usualRate : rate(group.sent),
                route.response,
                out,
                warmLeft);
    }

    /**
     * Guards against a list that changes all day: a route is forgotten once it is not listed, no call to it
     * is out and no wait that it told runs. Requests keep what they need of it.
     */
    private void forgetIfGone(Route route) {
        LimitGroup group = route.group;
        if (route.listed || !route.out.isEmpty() || now < group.waitUntil) {
            return;
        }
        routes.remove(route.name);
        route.destination.routes.remove(route.name);
        group.routes.remove(route);
        if (group.routes.isEmpty() && route.circuit == group.circuit) {
            groups.remove(group.number);
        }
    }

    private Route newRoute(EndpointEntry entry) {
        Destination destination = destination(entry.destination());
        DestinationKind kind = kinds.get(entry.kind());
        boolean apart = kind != null && kind.independentRoutes();
        int number = apart ? entry.route().hashCode() : entry.destination();
        LimitGroup group = groups.computeIfAbsent(number, LimitGroup::new);
        Route route = new Route(entry, destination, group, apart);
        route.placeBonus = placeBonus(route.zone);
        group.routes.add(route);
        destination.routes.put(route.name, route);
        return route;
    }

    private void askForList() {
        if (settings.mustSubscribe() && !asked) {
            asked = true;
            actions.subscribe(true);
        }
    }

    private void timer(long name) {
        if (name == WAKE) {
            wakeAt = now >= wakeAt ? Long.MAX_VALUE : wakeAt;
            lines.values().removeIf(line -> line.requests.isEmpty() && line.restUntil <= now);
        } else if (name == ASK) {
            asked = !settings.mustSubscribe();
            askForList();
        }
    }

    private void arm() {
        long wake = ends.isEmpty() ? Long.MAX_VALUE : ends.first().deadline;
        wake = awaitUntil > now ? Math.min(wake, awaitUntil) : wake;
        wake = Math.min(
                wake,
                kept.stream().mapToLong(group -> group.keeper.nextAt).min().orElse(wake));
        for (Destination destination : busy) {
            for (Route route : destination.routes.values()) {
                wake = Math.min(wake, route.listed ? dueAt(route) : Long.MAX_VALUE);
            }
        }
        for (Call call : busy.isEmpty() ? List.<Call>of() : out) {
            long overdue = overdueAt(call);
            wake = overdue > now ? Math.min(wake, overdue) : wake;
        }
        if (wake < wakeAt) {
            wakeAt = Math.max(wake, now + 1);
            actions.setTimer(WAKE, wakeAt - now);
        }
    }

    /** When the route may be used or tested next, if only time stands in the way. */
    private long dueAt(Route route) {
        LimitGroup group = route.group;
        long guarded = Math.min(group.guardedUntil, group.asked ? group.askedAt + PATIENCE : Long.MAX_VALUE);
        long at = Math.max(Math.max(group.nextAt, group.waitUntil), guarded);
        if (route.circuit.state == CircuitState.OPEN) {
            at = Math.max(group.waitUntil, route.circuit.until);
        }
        if (group.circuit.state == CircuitState.OPEN) {
            at = Math.max(group.waitUntil, group.circuit.until);
        }
        return at > now ? at : Long.MAX_VALUE;
    }
}
