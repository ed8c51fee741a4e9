package loftflow.experiment.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.FaultSchedule;
import loftflow.experiment.scenario.RandomStreams;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.Idempotency;
import loftflow.policy.api.LimitReport;
import org.apache.commons.rng.UniformRandomProvider;

/** One run of a scenario in virtual time. The same scenario, seed and module give the same history. */
public final class EmulatorRun {
    private static final long SECOND = 1_000_000;
    /** News of the list come to each relay within this span. */
    private static final long NEWS = 2 * SECOND;

    private static final byte[] BODY = new byte[0];

    private final Scenario scenario;
    private final Scenario.Rules rules;
    private final Scenario.Layout layout;
    private final FaultSchedule faults;
    private final VirtualTime time = new VirtualTime();
    private final RunHistory history = new RunHistory();
    private final Iterator<Arrival> arrivals;
    private final List<EmulatedEndpoint> endpoints;
    private final Map<String, EmulatedEndpoint> byRoute = new HashMap<>();
    private final List<EmulatedRelay> relays = new ArrayList<>();
    private final List<Endpoint> list = new ArrayList<>();
    private final IdempotencyKeys keys = new IdempotencyKeys();
    private final Map<String, Integer> asks = new HashMap<>();
    private final UniformRandomProvider random;
    /** For each relay what its clients wait for an answer for, by number. */
    private final List<Map<Integer, MessageHistory>> waiting = new ArrayList<>();

    private long version = 1;

    /**
     * A run that is yet to happen.
     *
     * @param arrivals in the order of their times
     * @param program what each relay is made of
     */
    public EmulatorRun(
            Scenario scenario,
            Scenario.Rules rules,
            long seed,
            Function<Scenario.Layout, Iterator<Arrival>> arrivals,
            RelayComponents program) {
        this.scenario = scenario;
        this.rules = rules;
        layout = scenario.layout();
        faults = FaultSchedule.of(scenario, layout, seed);
        this.arrivals = arrivals.apply(layout);
        random = RandomStreams.of(seed, "news", 0);
        endpoints = EmulatedEndpoint.all(layout, rules, faults, history, seed);
        for (EmulatedEndpoint model : endpoints) {
            byRoute.put(model.endpoint().route(), model);
            list.add(target(model.endpoint(), Availability.LISTED));
        }
        for (int i = 0; i < scenario.fleet().relays(); i++) {
            waiting.add(new LinkedHashMap<>());
            relays.add(new EmulatedRelay(
                    i,
                    time,
                    scenario.settings(i, seed, layout, rules),
                    scenario.fleet().round(),
                    program,
                    new Hands()));
        }
    }

    /** An entry of the list; it has no address, as the model carries calls by name. */
    private Endpoint target(Scenario.Endpoint e, Availability availability) {
        return new Endpoint(
                new EndpointEntry(
                        e.route(),
                        e.partner(),
                        layout.partners().get(e.partner()).group().kind(),
                        e.building(),
                        availability,
                        0),
                null);
    }

    /** What came of it, and how much happened: the unit of the emulator's speed. */
    public record Outcome(RunHistory history, long events) {}

    /** Runs until every message's time is up. */
    public Outcome run() {
        relays.forEach(relay -> time.at(0, relay::start));
        faults.deaths().forEach(this::dies);
        faults.drains().forEach(this::drains);
        time.at(0, this::arrive);
        long end = scenario.span() + scenario.patience() + SECOND;
        // Guards against a message that a relay told to come back late: it may be due after all that are usual.
        for (long last = 0; end > last; ) {
            time.run(end);
            last = end;
            end = Math.max(
                    end,
                    history.asks().stream()
                                    .filter(a -> a.told() == MessageHistory.Told.TAKEN && a.doneAt() < 0)
                                    .mapToLong(MessageHistory::due)
                                    .max()
                                    .orElse(0)
                            + SECOND);
        }
        return new Outcome(history, time.happened());
    }

    // ---- failures of the fleet and of discovery

    private void dies(FaultSchedule.Death death) {
        EmulatedRelay relay = relays.get(death.relay());
        time.at(death.at(), () -> {
            if (relay.isUp()) {
                relay.die();
                history.away(new RunHistory.Away(death.relay(), death.at(), death.back()));
                cut(waiting.get(death.relay()), death.back());
                time.at(death.back(), relay::start);
            }
        });
    }

    /**
     * Clients whose connections broke before an answer: what is safe to repeat is handed in again once the relay is
     * back; what
     * is not, and may have been taken on, is left alone. A key is no help: another building would not know it.
     */
    private void cut(Map<Integer, MessageHistory> clients, long back) {
        clients.forEach((number, ask) -> {
            ask.cut();
            if (scenario.classes().get(ask.type()).repeat() == Idempotency.IDEMPOTENT) {
                time.at(back + scenario.clients().pause(), () -> handIn(number, ask));
            }
        });
        clients.clear();
    }

    private void drains(FaultSchedule.Drain drain) {
        Scenario.Endpoint e = endpoints.get(drain.endpoint()).endpoint();
        time.at(drain.from(), () -> news(e, Availability.DRAINING));
        time.at(drain.gone(), () -> news(e, Availability.REMOVED));
    }

    private void news(Scenario.Endpoint e, Availability availability) {
        list.removeIf(t -> t.entry().route().equals(e.route()));
        if (availability == Availability.DRAINING) {
            list.add(target(e, availability));
        }
        version++;
        long now = version;
        for (EmulatedRelay relay : relays) {
            time.at(faults.told(time.micros() + random.nextLong(NEWS)), () -> {
                if (relay.isUp()) {
                    history.costs().count(CallCounts.Of.LISTS, relay.number(), CallCounts.NONE);
                    history.drained(new RunHistory.DrainTold(relay.number(), e.number(), time.micros()));
                    relay.hears(List.of(target(e, availability)), now);
                }
            });
        }
    }

    // ---- programs

    private void arrive() {
        if (arrivals.hasNext()) {
            Arrival arrival = arrivals.next();
            time.at(arrival.at(), () -> {
                Scenario.MessageClass type = scenario.classes().get(arrival.type());
                MessageHistory ask = new MessageHistory(
                        arrival.type(),
                        arrival.tenant(),
                        arrival.partner(),
                        arrival.relay(),
                        time.micros(),
                        time.micros() + type.deadline());
                history.asked(ask);
                handIn(history.asks().size() - 1, ask);
                arrive();
            });
        }
    }

    private void handIn(int number, MessageHistory ask) {
        Scenario.MessageClass type = scenario.classes().get(ask.type());
        ask.tried(time.micros());
        EmulatedRelay relay = relays.get(ask.relay());
        if (!relay.isUp()) {
            refused(number, ask, 0);
            return;
        }
        String id = number + "-" + ask.tries();
        asks.put(id, number);
        Map<Integer, MessageHistory> clients = waiting.get(ask.relay());
        clients.put(number, ask);
        String key = type.repeat() == Idempotency.IDEMPOTENT_BY_KEY ? "k" + number : null;
        String tenant =
                ask.tenant() < 0 ? null : scenario.tenants().get(ask.tenant()).name();
        relay.handIn(
                new Message.Content(id, type.name(), tenant, key, time.micros() + type.deadline(), ask.partner(), BODY),
                new Message.ClientReply() {
                    @Override
                    public void accepted() {
                        clients.remove(number);
                        ask.taken();
                    }

                    @Override
                    public void rejected(long retryIn) {
                        clients.remove(number);
                        EmulatorRun.this.refused(number, ask, retryIn);
                    }

                    @Override
                    public void failed() {
                        clients.remove(number);
                        ask.ended(time.micros(), MessageHistory.Told.FAILED);
                    }
                });
    }

    /** Nothing of it has run: its client may hand it in again. */
    private void refused(int number, MessageHistory ask, long retryIn) {
        ask.ended(time.micros(), MessageHistory.Told.REFUSED);
        if (ask.tries() <= scenario.clients().repeats()) {
            time.schedule(Math.max(scenario.clients().pause(), retryIn), () -> handIn(number, ask));
        }
    }

    // ---- what relays need

    private final class Hands implements EmulatedRelay.World {
        @Override
        public List<Endpoint> list(int relay) {
            history.costs().count(CallCounts.Of.LISTS, relay, CallCounts.NONE);
            return List.copyOf(list);
        }

        @Override
        public void told(Message message) {
            String id = message.content().messageId();
            MessageHistory ask = history.asks().get(asks.get(id));
            switch (message.completion().kind()) {
                case REJECTED -> refused(asks.get(id), ask, message.completion().retryAfterMicros());
                case FAILED -> ask.ended(time.micros(), MessageHistory.Told.FAILED);
                case DELIVERED -> {}
            }
        }

        @Override
        public void carry(EmulatedRelay.Life from, String route, List<Message.Attempt> attempts) {
            EmulatedEndpoint endpoint = byRoute.get(route);
            int batch = endpoint.group().batch();
            for (int i = 0; i < attempts.size(); i += batch) {
                call(from, endpoint, attempts.subList(i, Math.min(attempts.size(), i + batch)));
            }
        }

        private long way(EmulatedRelay.Life from, EmulatedEndpoint endpoint) {
            return scenario.way(from.relay(), endpoint.endpoint(), layout);
        }

        private void call(EmulatedRelay.Life from, EmulatedEndpoint endpoint, List<Message.Attempt> attempts) {
            long way = way(from, endpoint);
            long sent = time.micros();
            time.schedule(way, () -> {
                EmulatedEndpoint.Met met = endpoint.meet(from.relay(), time.micros());
                for (Message.Attempt attempt : attempts) {
                    arrived(from, endpoint, attempt, met, sent);
                }
                if (met.answerAt() >= 0) {
                    time.at(met.answerAt() + way, () -> answered(from, endpoint, attempts, met));
                }
            });
        }

        private void arrived(
                EmulatedRelay.Life from,
                EmulatedEndpoint endpoint,
                Message.Attempt attempt,
                EmulatedEndpoint.Met met,
                long sent) {
            int number = asks.get(attempt.message().content().messageId());
            MessageHistory ask = history.asks().get(number);
            boolean ran = met.ran()
                    && keys.takesEffect(
                            number,
                            ask.partner(),
                            scenario.classes().get(ask.type()),
                            endpoint.endpoint(),
                            time.micros());
            ask.posted(new MessageHistory.Posting(
                    from.relay(), endpoint.endpoint().number(), sent, time.micros(), ran, met.answer()));
            if (met.answer() == MessageHistory.Answer.DONE) {
                time.at(met.answerAt(), () -> ask.answeredDone(time.micros()));
            }
        }

        private void answered(
                EmulatedRelay.Life from,
                EmulatedEndpoint endpoint,
                List<Message.Attempt> attempts,
                EmulatedEndpoint.Met met) {
            Scenario.Group group = endpoint.group();
            long wait = endpoint.toldWait(met);
            if (wait > 0) {
                history.waited(new RunHistory.Wait(
                        from.relay(), endpoint.endpoint().number(), time.micros(), time.micros() + wait));
            }
            LimitReport report = group.told()
                    ? new LimitReport(endpoint.limit().left(), endpoint.limit().rate())
                    : LimitReport.NONE;
            AttemptOutcome result = result(met.answer());
            attempts.forEach(attempt -> from.end(attempt, result, wait, report));
        }

        @Override
        public void givenUp(EmulatedRelay.Life from, String route) {
            byRoute.get(route).givenUpBy(from.relay());
        }

        @Override
        public void check(EmulatedRelay.Life from, String route) {
            EmulatedEndpoint endpoint = byRoute.get(route);
            long way = way(from, endpoint);
            long sent = time.micros();
            time.schedule(way, () -> {
                EmulatedEndpoint.Met met = endpoint.check(from.relay(), time.micros());
                long back = met.answerAt() < 0 ? sent + SECOND : met.answerAt() + way;
                AttemptOutcome result = met.answerAt() < 0 ? AttemptOutcome.TIMEOUT : result(met.answer());
                time.at(back, () -> {
                    if (result == AttemptOutcome.TIMEOUT) {
                        givenUp(from, route);
                    }
                    from.probed(route, result, endpoint.toldWait(met), time.micros() - sent, LimitReport.NONE);
                });
            });
        }
    }

    private static AttemptOutcome result(MessageHistory.Answer answer) {
        return switch (answer) {
            case DONE -> AttemptOutcome.OK;
            case FAULT -> AttemptOutcome.ERROR;
            case FULL -> AttemptOutcome.REJECTED;
            case UNREACHED -> AttemptOutcome.CONNECT_FAILED;
            case NONE -> AttemptOutcome.RESET;
        };
    }
}
