package loftflow.engine;

import java.util.function.Consumer;
import loftflow.log.Log;
import loftflow.policy.api.PolicySettings;

/**
 * The ports and settings shared by the parts of one engine. The ports without a constructor parameter are set once,
 * before the engine starts. To be used on the event loop only.
 */
final class EngineContext {
    private final Timers timers;
    private final Clock clock;
    private final PolicySettings settings;
    private final WriteAheadLog journal;
    private UpstreamClient upstreamClient;
    private CompletionNotifier completionNotifier;
    private DeadLetterSink deadLetterSink = DeadLetterSink.NONE;
    private Consumer<String> logger = Log::line;
    private boolean quiescing;

    EngineContext(Timers timers, Clock clock, PolicySettings settings, WriteAheadLog journal) {
        this.timers = timers;
        this.clock = clock;
        this.settings = settings;
        this.journal = journal;
    }

    Timers timers() {
        return timers;
    }

    /** Returns the current time, in microseconds since the epoch. */
    long nowMicros() {
        return clock.micros();
    }

    WriteAheadLog journal() {
        return journal;
    }

    PolicySettings settings() {
        return settings;
    }

    int maxOpenMessages() {
        return settings.limits().maxOpenMessages();
    }

    UpstreamClient upstreamClient() {
        return upstreamClient;
    }

    void setUpstreamClient(UpstreamClient client) {
        upstreamClient = client;
    }

    CompletionNotifier completionNotifier() {
        return completionNotifier;
    }

    void setCompletionNotifier(CompletionNotifier notifier) {
        completionNotifier = notifier;
    }

    DeadLetterSink deadLetterSink() {
        return deadLetterSink;
    }

    void setDeadLetterSink(DeadLetterSink sink) {
        deadLetterSink = sink;
    }

    void setLogger(Consumer<String> receiver) {
        logger = receiver;
    }

    /** Writes a line to the operators' log. */
    void log(String line) {
        logger.accept(line);
    }

    /** Returns whether the relay is shutting down and no longer accepts messages or starts attempts. */
    boolean isQuiescing() {
        return quiescing;
    }

    void quiesce() {
        quiescing = true;
    }
}
