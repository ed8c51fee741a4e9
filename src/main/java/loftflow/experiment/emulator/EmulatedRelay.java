package loftflow.experiment.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loftflow.engine.CompletionNotifier;
import loftflow.engine.DeliveryEngine;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.engine.Timers;
import loftflow.engine.UpstreamClient;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.PolicySettings;

/** One relay: an engine with its decision module, which crashes and restarts with the contents of its journal. */
final class EmulatedRelay {
    /** How the engine's log line for an exception of the decision module begins. */
    private static final String ROUND_FAILED = "a round failed";

    /** The relay's surroundings. */
    interface Environment {
        /** Sends attempts to an endpoint. */
        void sendCalls(Process from, String route, List<Message.Attempt> attempts);

        /** Sends a health probe to an endpoint. */
        void sendProbe(Process from, String route);

        /** The relay has stopped waiting for a response of an endpoint. */
        void onAbandoned(Process from, String route);

        /** The relay reports the completion of a message. */
        void onCompletion(Message message);

        /** The endpoint list for a relay that starts. */
        List<Endpoint> endpointList(int relay);
    }

    private final int number;
    private final VirtualTime time;
    private final PolicySettings settings;
    private final long roundMicros;
    private final RelayComponents components;
    private final Environment environment;
    private final InMemoryJournal journal = new InMemoryJournal();
    /** Null while the relay is down. */
    private Process process;

    EmulatedRelay(
            int number,
            VirtualTime time,
            PolicySettings settings,
            long roundMicros,
            RelayComponents components,
            Environment environment) {
        this.number = number;
        this.time = time;
        this.settings = settings;
        this.roundMicros = roundMicros;
        this.components = components;
        this.environment = environment;
    }

    int number() {
        return number;
    }

    boolean isUp() {
        return process != null;
    }

    /** Starts a new process, which recovers the messages in the journal. */
    void start() {
        process = new Process();
        process.engine.start(EndpointListKind.FULL, 1, environment.endpointList(number));
    }

    /** Terminates the process at once. Calls that were sent continue. */
    void crash() {
        process.terminated = true;
        process = null;
    }

    void submit(Message.Content content, Message.ClientReply client) {
        process.engine.accept(content, time.micros(), client);
    }

    /** Applies a change of the endpoint list; without effect while the relay is down. */
    void onEndpointChanges(List<Endpoint> changes, long version) {
        if (process != null) {
            process.engine.onEndpointList(EndpointListKind.DELTA, version, changes);
        }
    }

    /** One process of the relay; its timers and attempts end with it. */
    final class Process implements UpstreamClient, CompletionNotifier {
        private final DeliveryEngine engine = new DeliveryEngine(
                this::schedule,
                components.clock().apply(time),
                settings,
                roundMicros,
                components.journal().apply(journal),
                components.policy());
        /** The timeout of each attempt in flight. */
        private final Map<Message.Attempt, Timers.Timer> attemptTimers = new HashMap<>();

        private boolean terminated;

        Process() {
            engine.setLogger(this::failOnPolicyError);
            engine.attach(this, this);
        }

        /** Aborts the run on an exception of the decision module, which would otherwise only show as poor service. */
        private void failOnPolicyError(String line) {
            if (line.startsWith(ROUND_FAILED)) {
                throw new IllegalStateException("relay " + number + " at " + time.micros() + " us: " + line);
            }
        }

        private Timers.Timer schedule(long delayMicros, Runnable task) {
            return time.schedule(delayMicros, () -> {
                if (!terminated) {
                    task.run();
                }
            });
        }

        int relay() {
            return number;
        }

        /** Does nothing: emulated calls wait for no connection, so there is nothing to withdraw from an endpoint. */
        @Override
        public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {}

        @Override
        public void send(String route, List<OutboundAttempt> outgoing) {
            for (OutboundAttempt outbound : outgoing) {
                Message.Attempt attempt = outbound.attempt();
                Runnable onTimeout = () -> completeAttempt(attempt, AttemptOutcome.TIMEOUT, 0, LimitReport.NONE);
                attemptTimers.put(attempt, schedule(outbound.timeoutMicros(), onTimeout));
            }
            List<Message.Attempt> sharing = outgoing.stream()
                    .filter(OutboundAttempt::mayShareCall)
                    .map(OutboundAttempt::attempt)
                    .toList();
            environment.sendCalls(this, route, sharing);
            outgoing.stream()
                    .filter(outbound -> !outbound.mayShareCall())
                    .forEach(outbound -> environment.sendCalls(this, route, List.of(outbound.attempt())));
        }

        /** Reports the outcome of an attempt to the engine; without effect if it has ended already. */
        void completeAttempt(
                Message.Attempt attempt, AttemptOutcome outcome, long retryAfterMicros, LimitReport report) {
            Timers.Timer timer = terminated ? null : attemptTimers.remove(attempt);
            if (timer != null) {
                timer.cancel();
                if (outcome == AttemptOutcome.TIMEOUT || outcome == AttemptOutcome.CANCELLED) {
                    environment.onAbandoned(this, attempt.route());
                }
                engine.onAttemptCompleted(attempt, outcome, outcome == AttemptOutcome.OK, retryAfterMicros, report);
            }
        }

        /** Reports the outcome of a health probe to the engine. */
        void completeProbe(
                String route, AttemptOutcome outcome, long retryAfterMicros, long elapsedMicros, LimitReport report) {
            if (!terminated) {
                engine.onProbeCompleted(route, outcome, retryAfterMicros, elapsedMicros, report);
            }
        }

        @Override
        public void cancel(Message.Attempt attempt) {
            completeAttempt(attempt, AttemptOutcome.CANCELLED, 0, LimitReport.NONE);
        }

        @Override
        public void probe(String route) {
            environment.sendProbe(this, route);
        }

        @Override
        public void closeIdleConnections(String route) {}

        @Override
        public void notifyCompletion(Message message) {
            environment.onCompletion(message);
            engine.onCompletionAcknowledged(message);
        }
    }
}
