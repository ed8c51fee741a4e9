package loftflow.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import loftflow.log.Log;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.CompletionAcknowledged;
import loftflow.policy.api.CompletionPending;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListPending;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageResumed;
import loftflow.policy.api.MessageWithdrawn;
import loftflow.policy.api.PastAttempt;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.RequestClass;
import loftflow.policy.api.RetryAfterReceived;
import loftflow.policy.api.RouteRestored;
import loftflow.policy.api.RouteSnapshot;
import loftflow.policy.api.TimerFired;

/**
 * Drives the decision module: gathers what has come in into rounds and carries out what the module answers.
 * It owns the table of messages and takes no decision of its own. Everything runs on one event loop; what it needs of
 * fronts, partners, journal and platform it knows by ports alone.
 */
public final class DeliveryEngine
        implements MessageAcceptor, EndpointListListener, PolicyActions, UpstreamClient.ResultListener {
    /** When a message that the module has left open past its deadline is ended: in time for its notice. */
    private static final long LATEST_END = 200_000;

    private static final long COME_BACK = 1_000_000;
    /** Beyond this share of the messages that may be open, live ones have the room to themselves. */
    private static final double RESEND_SHARE = 0.5;
    /** How long passes may take while messages are still taken on; clients wait 400 ms for their answer. */
    private static final long MOST_LAG = 400_000;

    private final Timers timers;
    private final Clock clock;
    private final PolicySettings settings;
    private final long period;
    private final WriteAheadLog journal;
    private final DeliveryPolicy policy;
    private UpstreamClient partners;
    private CompletionNotifier ends;
    private DeadLetterSink keeper = DeadLetterSink.NONE;
    private Consumer<PolicyEvent> observer = event -> {};
    private Consumer<String> staff = Log::line;
    private boolean treatKeyWindowsAsExpired;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private final Set<Integer> destinations = new HashSet<>();
    private final Map<Long, Message> messages = new LinkedHashMap<>();
    private final Map<String, Message> byCallId = new HashMap<>();
    private final Map<String, List<UpstreamClient.OutboundAttempt>> outgoing = new LinkedHashMap<>();
    private List<PolicyEvent> events = new ArrayList<>();
    private List<Message> arrivals = new ArrayList<>();
    private long nextNumber;
    private int held;
    private int attemptsOut;
    private boolean roundDue;
    private boolean frozen;
    private boolean ready;
    private boolean listTold;

    /**
     * An engine round a decision module.
     *
     * @param period how long, in microseconds, what comes in is gathered before the module acts
     * @param module makes the decision module for the settings
     */
    public DeliveryEngine(
            Timers timers,
            Clock clock,
            PolicySettings settings,
            long period,
            WriteAheadLog journal,
            Function<PolicySettings, DeliveryPolicy> module) {
        this.timers = timers;
        this.clock = clock;
        this.settings = settings;
        this.period = period;
        this.journal = journal;
        policy = module.apply(settings);
        settings.classes().forEach(type -> classes.put(type.name(), type));
        settings.tenants().forEach(tenant -> tenants.add(tenant.name()));
        nextNumber = journal.nextSequenceNumber();
    }

    /** Sets what calls partners and what tells ends; once, before {@link #start}. */
    public void attach(UpstreamClient calls, CompletionNotifier notices) {
        partners = calls;
        ends = notices;
    }

    /** Sets what keeps messages that can't be delivered; once, before {@link #start}. */
    public void setDeadLetterSink(DeadLetterSink keeps) {
        keeper = keeps;
    }

    /** Sets who is shown every event that the module is told; once, before {@link #start}. */
    public void setEventObserver(Consumer<PolicyEvent> sees) {
        observer = sees;
    }

    /** Sets who reads lines for staff, in place of the log; once, before {@link #start}. */
    public void setLogger(Consumer<String> reads) {
        staff = reads;
    }

    /** Since the clocks don't tell how long ago an earlier process ended, no key window of its attempts is open. */
    public void treatKeyWindowsAsExpired() {
        treatKeyWindowsAsExpired = true;
    }

    /** Tells the module what is known of routes from before a restart; with a list that names them. */
    public void restoreRoutes(List<RouteRestored> routes) {
        routes.forEach(this::add);
    }

    /** What is worth remembering of each listed route over a restart. */
    public List<RouteSnapshot> routeSnapshots() {
        return policy.routeSnapshots(clock.micros());
    }

    /** Takes in the list that is known at the start, empty where there is none, and what the journal holds. */
    public void start(EndpointListKind kind, long knownVersion, List<Endpoint> known) {
        start(kind, knownVersion, known, List.of());
    }

    /** As above, with what is remembered of the list's routes: the module learns it before anything goes to them. */
    public void start(EndpointListKind kind, long knownVersion, List<Endpoint> known, List<RouteRestored> routes) {
        if (!known.isEmpty()) {
            onEndpointList(kind, knownVersion, known);
            restoreRoutes(routes);
        }
        List<Message> open = journal.openMessages();
        if (!open.isEmpty()) {
            long untried = open.stream()
                    .filter(m -> m.completion == null && m.attempts.isEmpty())
                    .count();
            staff.accept("resumed " + open.size() + " messages, " + untried + " of them untried");
        }
        for (Message message : open) {
            remember(message);
            message.resumed = true;
            keeper.onMessageResumed(message);
            if (message.deadLetterId() != 0 && (message.completion != null || message.isDelivered())) {
                keeper.onRedriveEnded(message);
            } else if (message.completion != null) {
                if (isInOrder(message)) {
                    add(new CompletionPending(acceptance(message)));
                }
                tellEnd(message);
            } else if (!classes.containsKey(message.content.requestClass())) {
                held++;
                watchEnd(message);
                endUnknown(message);
            } else {
                held++;
                watchEnd(message);
                add(new MessageResumed(
                        acceptance(message),
                        message.attempts.stream()
                                .map(a -> new PastAttempt(
                                        a.route, treatKeyWindowsAsExpired ? 0 : a.sentAtMicros, a.outcome))
                                .toList()));
            }
        }
    }

    /**
     * Guards against a message that the settings have no class for any more: the module can't take it in, and all that
     * is
     * resumed with it would be lost to its round. It is refused where surely no attempt of it ran.
     */
    private void endUnknown(Message message) {
        staff.accept("message " + message.content.messageId() + " is of class " + message.content.requestClass()
                + ", which the settings do not name any more");
        boolean neverRan =
                message.attempts.stream().allMatch(a -> a.outcome != null && a.outcome.isProvenNotExecuted());
        end(message.number, new Message.Completion(neverRan, 0));
    }

    /**
     * Lets nothing go by the list of the start until discovery tells its own, for so many microseconds; after the
     * start.
     */
    public void holdUntilEndpointList(long micros) {
        add(new EndpointListPending(micros));
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    /** True where nothing is owed any more. */
    public boolean isIdle() {
        return messages.isEmpty();
    }

    /**
     * Begins nothing new from now on: an attempt that the end of the process cuts off may have run, so a
     * message that may take effect only once would be lost by it. What is held waits in the journal.
     */
    public void quiesce() {
        frozen = true;
    }

    public boolean isQuiescing() {
        return frozen;
    }

    /** True where no attempt is out and no client waits for an answer. */
    public boolean hasNothingInFlight() {
        return attemptsOut == 0 && arrivals.isEmpty();
    }

    @Override
    public boolean recognizes(Message.Content content) {
        RequestClass type = classes.get(content.requestClass());
        return type != null
                && (type.idempotency() != Idempotency.IDEMPOTENT_BY_KEY || content.key() != null)
                && (tenants.isEmpty() || tenants.contains(content.tenant()))
                && hasDestination(content.destination());
    }

    @Override
    public boolean hasDestination(int destination) {
        return destinations.contains(destination) || !listTold;
    }

    @Override
    public Message accept(Message.Content content, long unreadSince, Message.ClientReply client) {
        Message same = byCallId.get(content.messageId());
        if (same != null) {
            // Guards against a client that sends a request once more since its connection closed on it. One
            // whose own client may yet withdraw it, or that is over, is not taken on.
            if (same.client == null && same.completion == null && !same.over) {
                client.accepted();
            } else {
                client.failed();
            }
            return null;
        }
        // Guards against a list from before a restart: a destination may be new since, so this is no failure.
        boolean reachable = destinations.contains(content.destination());
        // Guards against promises that a relay short of CPU can't keep, and against clients that have left by now:
        // what may have lain unread so long is refused at once. It harms where the client has come just now.
        boolean behind = clock.micros() - unreadSince > MOST_LAG;
        Message message = new Message(nextNumber, content);
        // Guards against messages that nobody tries before the restart, when little of their time is left.
        if (!ready
                || frozen
                || behind
                || !reachable
                || keeper.rejects(content)
                || held >= settings.limits().maxOpenMessages()
                || !journal.recordAccepted(message)) {
            client.rejected(COME_BACK);
            return null;
        }
        nextNumber++;
        held++;
        message.client = client;
        remember(message);
        arrivals.add(message);
        watchEnd(message);
        add(acceptance(message));
        return message;
    }

    /**
     * Sends a message again that was kept. It is journaled like any other, with the attempts that still bind it, and
     * the module decides on it as on one that a restart has left.
     *
     * @param entry the entry that it was kept as, not 0
     * @param past attempts, in order, that may have run
     * @return the message, or null where it can't be taken on just now; nothing has happened then
     */
    public Message redrive(long entry, Message.Content content, List<PastAttempt> past) {
        boolean busy = held > settings.limits().maxOpenMessages() * RESEND_SHARE;
        if (!ready
                || frozen
                || busy
                || byCallId.containsKey(content.messageId())
                || !destinations.contains(content.destination())) {
            return null;
        }
        Message message = new Message(nextNumber, content, entry);
        past.forEach(p -> message.addAttempt(p.route(), p.sentAtMicros()).outcome = p.outcome());
        if (!journal.recordAccepted(message)) {
            return null;
        }
        nextNumber++;
        held++;
        remember(message);
        watchEnd(message);
        add(new MessageResumed(acceptance(message), past));
        return message;
    }

    /** Stops sending a message again, since an earlier attempt has turned out to have taken effect. */
    public void cancelRedrive(Message message) {
        if (message.completion == null && !message.over) {
            add(new MessageWithdrawn(message.number));
            endResend(message);
        }
    }

    /** A message that the keeper was given, or that was sent again, outlasts the process there. */
    public void onDeadLetterStored(Message message) {
        heard(message);
    }

    private void remember(Message message) {
        messages.put(message.number, message);
        byCallId.put(message.content.messageId(), message);
    }

    private static MessageAccepted acceptance(Message message) {
        Message.Content content = message.content;
        return new MessageAccepted(
                message.number,
                content.requestClass(),
                content.tenant(),
                content.orderingKey() != null ? content.orderingKey() : content.key(),
                content.deadlineMicros(),
                content.destination());
    }

    @Override
    public void withdraw(Message message) {
        message.client = null;
        if (messages.containsKey(message.number) && message.completion == null && !message.over) {
            add(new MessageWithdrawn(message.number));
            close(message);
        }
    }

    @Override
    public void clientDisconnected(Message message) {
        message.client = null;
    }

    @Override
    public double utilization() {
        return (double) held / settings.limits().maxOpenMessages();
    }

    /** Guards against a message that an error in a round has left behind. */
    private void watchEnd(Message message) {
        long delay = message.content.deadlineMicros() + LATEST_END - clock.micros();
        message.endWatch = timers.schedule(Math.max(LATEST_END, delay), () -> {
            staff.accept("message " + message.content.messageId() + " is overdue");
            end(message.number, new Message.Completion(false, 0));
        });
    }

    private void add(PolicyEvent event) {
        events.add(event);
        observer.accept(event);
        if (!roundDue) {
            roundDue = true;
            // Guards, by a whole period, against answering a client whose leaving has come but is not read yet.
            timers.schedule(period, this::round);
        }
    }

    private void round() {
        roundDue = false;
        long now = clock.micros();
        List<PolicyEvent> came = events;
        events = new ArrayList<>();
        List<Message> arrived = arrivals;
        arrivals = new ArrayList<>();
        try {
            if (!frozen) {
                policy.onRound(now, came, this);
            }
        } catch (RuntimeException e) {
            // Guards against one bad event that would end the relay and all that it holds.
            staff.accept("a round failed: " + e + " at "
                    + List.of(e.getStackTrace()).stream().findFirst().orElse(null));
        }
        for (Message message : arrived) {
            if (message.client != null) {
                Message.ClientReply client = message.client;
                message.client = null;
                client.accepted();
            }
        }
        sendAll();
    }

    private void sendAll() {
        Map<String, List<UpstreamClient.OutboundAttempt>> batches = new LinkedHashMap<>(outgoing);
        outgoing.clear();
        batches.forEach((route, calls) -> {
            // Guards against a call for a message whose client has not heard: its 202 could not be written just now.
            List<UpstreamClient.OutboundAttempt> owed = new ArrayList<>(calls.size());
            for (UpstreamClient.OutboundAttempt one : calls) {
                if (one.attempt().message.over) {
                    onAttemptCompleted(one.attempt(), AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE);
                } else {
                    owed.add(one);
                }
            }
            if (!owed.isEmpty()) {
                partners.send(route, owed);
            }
        });
    }

    @Override
    public void send(long id, String route, long timeout, long leaveWithin) {
        Message message = messages.get(id);
        if (message == null || message.completion != null) {
            return;
        }
        long now = clock.micros();
        Message.Attempt attempt = message.addAttempt(route, now);
        message.attemptStarted();
        attemptsOut++;
        long left = message.content.deadlineMicros() - now;
        if (left <= 0 || !journal.recordAttempt(attempt)) {
            // Guards against an attempt that a restart would know nothing of.
            onAttemptCompleted(attempt, AttemptOutcome.NOT_SENT, false, 0, LimitReport.NONE);
            return;
        }
        outgoing.computeIfAbsent(route, r -> new ArrayList<>())
                .add(new UpstreamClient.OutboundAttempt(
                        attempt,
                        timeout > 0 ? Math.min(timeout, left) : left,
                        leaveWithin > 0 ? now + leaveWithin : Long.MAX_VALUE));
    }

    @Override
    public void onAttemptCompleted(
            Message.Attempt attempt, AttemptOutcome result, boolean over, long wait, LimitReport report) {
        Message message = attempt.message;
        attempt.outcome = result;
        message.attemptEnded();
        attemptsOut--;
        boolean late = result == AttemptOutcome.OK && clock.micros() > message.content.deadlineMicros();
        if (late) {
            // Guards against a delivery that comes after the time that its client counts: that is none.
            journal.recordOutcome(attempt);
            end(message.number, new Message.Completion(false, 0));
        } else if (over && message.deadLetterId() != 0 && message.completion == null && !message.over) {
            journal.recordOutcome(attempt);
            endResend(message);
        } else if (over && message.completion == null && !message.over) {
            finish(message, result == AttemptOutcome.OK);
        } else if (!message.over) {
            journal.recordOutcome(attempt);
            if (message.completion != null) {
                keeper.onOutcomeLearned(attempt);
            }
        }
        boolean closed = message.over || message.completion != null;
        add(new AttemptCompleted(
                message.number,
                attempt.number,
                attempt.route,
                result,
                closed,
                wait,
                clock.micros() - attempt.sentAtMicros,
                report));
        forgetIfSettled(message);
    }

    @Override
    public void onLateDelivery(Message.Attempt attempt) {
        Message message = attempt.message;
        attempt.outcome = AttemptOutcome.OK;
        if (messages.get(message.number) != message) {
            keeper.onOutcomeLearned(attempt);
            return;
        }
        journal.recordOutcome(attempt);
        if (message.completion != null) {
            keeper.onOutcomeLearned(attempt);
        } else if (message.deadLetterId() != 0) {
            cancelRedrive(message);
        } else if (!message.over && clock.micros() <= message.content.deadlineMicros()) {
            // Guards against a further attempt for what has turned out to be delivered.
            add(new MessageWithdrawn(message.number));
            finish(message, true);
        }
    }

    /** Nothing more is to be sent: the end is told where its client asked for that, and is the last of it where not. */
    private void finish(Message message, boolean delivered) {
        if (message.content.reply() == null) {
            close(message);
            return;
        }
        message.completion = new Message.Completion(
                delivered ? Message.Completion.Kind.DELIVERED : Message.Completion.Kind.REJECTED, 0);
        message.endWatch.cancel();
        held--;
        journal.recordCompletion(message);
        ends.notifyCompletion(message);
    }

    @Override
    public void onRetryAfter(String route, long wait) {
        add(new RetryAfterReceived(route, wait));
    }

    @Override
    public void onProbeCompleted(String route, AttemptOutcome result, long wait, long elapsed, LimitReport report) {
        add(new ProbeCompleted(route, result, wait, elapsed, report));
    }

    /** Nothing more is owed for a message, and no notice either. */
    private void close(Message message) {
        // Guards against timers that hold every message, body and all, until its time is up.
        message.endWatch.cancel();
        message.over = true;
        held--;
        journal.recordDone(message);
        forgetIfSettled(message);
    }

    private void forgetIfSettled(Message message) {
        if (message.over && !message.hasAttemptsOut()) {
            messages.remove(message.number);
            byCallId.remove(message.content.messageId(), message);
        }
    }

    private void end(long id, Message.Completion end) {
        Message message = messages.get(id);
        if (message == null || message.completion != null || message.over) {
            return;
        }
        if (message.deadLetterId() != 0) {
            endResend(message);
            return;
        }
        if (message.resumed && message.attempts.isEmpty()) {
            staff.accept("message " + message.content.messageId() + " was resumed and ends with no call, "
                    + (message.content.deadlineMicros() - clock.micros()) / 1000 + " ms before its time is up");
        }
        boolean keeps = message.client == null && keeper.accepts(message);
        // What is kept is nobody else's to hand in again: its client is told that it failed.
        message.completion = keeps ? new Message.Completion(false, 0) : end;
        if (message.client == null) {
            message.endWatch.cancel();
            held--;
            journal.recordCompletion(message);
            tellEnd(message);
            return;
        }
        Message.ClientReply client = message.client;
        message.client = null;
        close(message);
        if (end.isRejected()) {
            client.rejected(end.retryAfterMicros());
        } else {
            client.failed();
        }
    }

    private void tellEnd(Message message) {
        boolean keeps = message.completion.kind() == Message.Completion.Kind.FAILED && keeper.accepts(message);
        message.owed = keeps ? 2 : 1;
        if (keeps) {
            keeper.store(message);
        }
        ends.notifyCompletion(message);
    }

    /** A message that was sent again is over; what became of it is in its attempts. */
    private void endResend(Message message) {
        message.endWatch.cancel();
        held--;
        message.completion = new Message.Completion(false, 0);
        journal.recordCompletion(message);
        keeper.onRedriveEnded(message);
    }

    /** The end of a message, given to {@link CompletionNotifier}, has been heard. */
    public void onCompletionAcknowledged(Message message) {
        heard(message);
    }

    private void heard(Message message) {
        message.owed--;
        if (message.owed == 0) {
            message.over = true;
            journal.recordDone(message);
            forgetIfSettled(message);
            if (isInOrder(message)) {
                add(new CompletionAcknowledged(message.number));
            }
        }
    }

    private boolean isInOrder(Message message) {
        RequestClass type = classes.get(message.content.requestClass());
        return type != null && type.ordered();
    }

    @Override
    public boolean isCompletionAcknowledged(long id) {
        Message message = messages.get(id);
        return message == null || message.completion == null || message.over;
    }

    @Override
    public void onEndpointList(EndpointListKind kind, long version, List<Endpoint> targets) {
        targets.forEach(target -> destinations.add(target.entry().destination()));
        partners.onEndpointList(kind, targets);
        keeper.onEndpointList(kind, version, targets);
        ready = true;
        // What takes an endpoint away from an old list does not say what else there is.
        listTold |= kind == EndpointListKind.FULL;
        add(new EndpointListReceived(
                kind, version, targets.stream().map(Endpoint::entry).toList()));
    }

    @Override
    public void cancel(long id, int attempt) {
        Message message = messages.get(id);
        if (message != null && attempt < message.attempts.size()) {
            partners.cancel(message.attempts.get(attempt));
        }
    }

    @Override
    public void reject(long id, long retryIn) {
        end(id, new Message.Completion(true, retryIn));
    }

    @Override
    public void fail(long id) {
        end(id, new Message.Completion(false, 0));
    }

    @Override
    public void setTimer(long name, long delay) {
        timers.schedule(delay, () -> add(new TimerFired(name)));
    }

    @Override
    public void probe(String route) {
        partners.probe(route);
    }

    @Override
    public void closeIdleConnections(String route) {
        partners.closeIdleConnections(route);
    }

    /** Relays on sockets have no way to talk to each other. */
    @Override
    public void sendToPeer(int relay, byte[] bytes) {}

    /** The watch on discovery runs all the time. */
    @Override
    public void subscribe(boolean on) {}

    /** The watch on discovery runs all the time. */
    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String text) {
        staff.accept(text);
    }
}
