package loftflow.experiment.loopback;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import loftflow.experiment.emulator.IdempotencyKeys;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;

/** What programs and partners of one run know in common. Everything happens on one event loop. */
final class RunContext {
    /** What left before a word was heard may come after it: so much is granted. */
    private static final long ON_THE_WAY = 100_000;

    private final Scenario scenario;
    private final EventLoop loop;
    private final RunClock clock;
    private final RunHistory history = new RunHistory();
    private final IdempotencyKeys keys = new IdempotencyKeys();
    private final Map<String, Integer> numbers = new HashMap<>();

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

    /** Microseconds from the beginning of the run. */
    long now() {
        return clock.micros();
    }

    /** A try of a message goes out under an id. */
    void named(String id, int number) {
        numbers.put(id, number);
    }

    /** The message of an id; null where nobody handed it in. */
    MessageHistory ask(String id) {
        Integer number = numbers.get(id);
        return number == null ? null : history.asks().get(number);
    }

    /** Whether a message that an endpoint runs takes effect there, as its key is new. */
    boolean takesEffect(String id, Scenario.Endpoint endpoint) {
        MessageHistory ask = ask(id);
        return keys.takesEffect(
                numbers.get(id), ask.partner(), scenario.classes().get(ask.type()), endpoint, now());
    }

    void waits(int relay, int endpoint, long wait) {
        history.waited(new RunHistory.Wait(relay, endpoint, now() + ON_THE_WAY, now() + wait));
    }

    void drains(int relay, int endpoint) {
        history.drained(new RunHistory.DrainTold(relay, endpoint, now() + ON_THE_WAY));
    }
}
