package loftflow.experiment.loopback;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import loftflow.experiment.emulator.IdempotencyKeys;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;

/** The state that clients and endpoints of one run share. To be used on the event loop only. */
final class RunContext {
    /** Calls that are in flight while a notice arrives are tolerated for this long. */
    private static final long IN_FLIGHT_GRACE_MICROS = 100_000;

    private final Scenario scenario;
    private final EventLoop loop;
    private final RunClock clock;
    private final RunHistory history = new RunHistory();
    private final IdempotencyKeys keys = new IdempotencyKeys();
    private final Map<String, Integer> messageNumbers = new HashMap<>();

    RunContext(Scenario scenario, EventLoop loop, RunClock clock) {
        this.scenario = scenario;
        this.loop = loop;
        this.clock = clock;
    }

    Scenario scenario() {
        return scenario;
    }

    EventLoop loop() {
        return loop;
    }

    RunHistory history() {
        return history;
    }

    /** Microseconds since the start of the run. */
    long nowMicros() {
        return clock.micros();
    }

    /** Registers the id under which a message is submitted. */
    void registerId(String id, int number) {
        messageNumbers.put(id, number);
    }

    /** The message with an id; null where there is none. */
    MessageHistory message(String id) {
        Integer number = messageNumbers.get(id);
        return number == null ? null : history.messages().get(number);
    }

    /** Returns whether a message that an endpoint executes takes effect there, as its idempotency key is new. */
    boolean takesEffect(String id, Scenario.Endpoint endpoint) {
        MessageHistory message = message(id);
        return keys.takesEffect(
                messageNumbers.get(id),
                message.partner(),
                scenario.classes().get(message.classIndex()),
                endpoint,
                nowMicros());
    }

    /** Records a {@code Retry-After} that is sent to a relay now. */
    void recordRetryAfter(int relay, int endpoint, long retryAfterMicros) {
        long nowMicros = nowMicros();
        history.addRetryAfter(new RunHistory.RetryAfter(
                relay, endpoint, nowMicros + IN_FLIGHT_GRACE_MICROS, nowMicros + retryAfterMicros));
    }

    /** Records that a relay is notified now that an endpoint is draining or removed. */
    void recordDrainNotice(int relay, int endpoint) {
        history.addDrainNotice(new RunHistory.DrainNotice(relay, endpoint, nowMicros() + IN_FLIGHT_GRACE_MICROS));
    }
}
