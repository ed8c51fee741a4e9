package loftflow.experiment.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.Message;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;

/** The clients of a fleet: they submit messages as they arrive, and resubmit rejected ones as the scenario says. */
final class EmulatedClients {
    private static final byte[] EMPTY_BODY = new byte[0];

    private final Scenario scenario;
    private final VirtualTime time;
    private final RunHistory history;
    private final Iterator<Arrival> arrivals;
    private final List<EmulatedRelay> relays;
    /** The number of the message that each id was given to. */
    private final Map<String, Integer> numberById = new HashMap<>();
    /** For each relay the messages whose clients wait for a response, by number. */
    private final List<Map<Integer, MessageHistory>> awaitingResponse = new ArrayList<>();

    /**
     * Creates the clients.
     *
     * @param arrivals messages in the order of their times
     * @param relays the fleet, which may still be empty
     */
    EmulatedClients(
            Scenario scenario,
            VirtualTime time,
            RunHistory history,
            Iterator<Arrival> arrivals,
            List<EmulatedRelay> relays) {
        this.scenario = scenario;
        this.time = time;
        this.history = history;
        this.arrivals = arrivals;
        this.relays = relays;
        for (int i = 0; i < scenario.fleet().relays(); i++) {
            awaitingResponse.add(new LinkedHashMap<>());
        }
    }

    /** Schedules the next message; each one schedules its successor. */
    void scheduleNextArrival() {
        if (arrivals.hasNext()) {
            Arrival arrival = arrivals.next();
            time.scheduleAt(arrival.atMicros(), () -> {
                MessageHistory message = newMessage(arrival);
                history.addMessage(message);
                submit(history.messages().size() - 1, message);
                scheduleNextArrival();
            });
        }
    }

    private MessageHistory newMessage(Arrival arrival) {
        Scenario.MessageClass messageClass = scenario.classes().get(arrival.classIndex());
        return new MessageHistory(
                arrival.classIndex(),
                arrival.tenant(),
                arrival.partner(),
                arrival.relay(),
                time.micros(),
                time.micros() + messageClass.deadlineMicros());
    }

    /** The number of the message that was submitted under an id. */
    int numberOf(String messageId) {
        return numberById.get(messageId);
    }

    private void submit(int number, MessageHistory message) {
        message.recordSubmission(time.micros());
        EmulatedRelay relay = relays.get(message.relay());
        if (!relay.isUp()) {
            onRejected(number, message, 0);
            return;
        }
        Message.Content content = content(number, message);
        numberById.put(content.messageId(), number);
        Map<Integer, MessageHistory> awaiting = awaitingResponse.get(message.relay());
        awaiting.put(number, message);
        relay.submit(content, new ResponseRecorder(number, message, awaiting));
    }

    private Message.Content content(int number, MessageHistory message) {
        Scenario.MessageClass messageClass = scenario.classes().get(message.classIndex());
        String key = messageClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY ? "k" + number : null;
        String tenant = message.tenant() < 0
                ? null
                : scenario.tenants().get(message.tenant()).name();
        return new Message.Content(
                number + "-" + message.submissions(),
                messageClass.name(),
                tenant,
                key,
                time.micros() + messageClass.deadlineMicros(),
                message.partner(),
                EMPTY_BODY);
    }

    /** Records a rejection. Nothing of the message was executed, so the client may submit it again. */
    void onRejected(int number, MessageHistory message, long retryAfterMicros) {
        message.recordCompletion(time.micros(), MessageHistory.ClientOutcome.REJECTED);
        if (message.submissions() <= scenario.clients().maxResubmissions()) {
            long delayMicros = Math.max(scenario.clients().resubmitDelayMicros(), retryAfterMicros);
            time.schedule(delayMicros, () -> submit(number, message));
        }
    }

    /**
     * The connections to a relay broke before a response. Idempotent messages are submitted again once the relay has
     * restarted; all others may have been accepted and are left alone. That includes messages with an idempotency key,
     * which another zone would not recognise.
     */
    void onConnectionsLost(int relay, long restartedAtMicros) {
        Map<Integer, MessageHistory> awaiting = awaitingResponse.get(relay);
        awaiting.forEach((number, message) -> {
            message.recordConnectionLost();
            if (scenario.classes().get(message.classIndex()).idempotency() == Idempotency.IDEMPOTENT) {
                long resubmitAtMicros = restartedAtMicros + scenario.clients().resubmitDelayMicros();
                time.scheduleAt(resubmitAtMicros, () -> submit(number, message));
            }
        });
        awaiting.clear();
    }

    /** Records the relay's response to one submission. */
    private final class ResponseRecorder implements Message.ClientReply {
        private final int number;
        private final MessageHistory message;
        private final Map<Integer, MessageHistory> awaiting;

        ResponseRecorder(int number, MessageHistory message, Map<Integer, MessageHistory> awaiting) {
            this.number = number;
            this.message = message;
            this.awaiting = awaiting;
        }

        @Override
        public void accepted() {
            awaiting.remove(number);
            message.recordAccepted();
        }

        @Override
        public void rejected(long retryAfterMicros) {
            awaiting.remove(number);
            onRejected(number, message, retryAfterMicros);
        }

        @Override
        public void failed() {
            awaiting.remove(number);
            message.recordCompletion(time.micros(), MessageHistory.ClientOutcome.FAILED);
        }
    }
}
