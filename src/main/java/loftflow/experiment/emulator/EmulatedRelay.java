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

/** One relay: an engine with its decision module, which dies and comes back with what its journal holds. */
final class EmulatedRelay {
    /** What a relay needs of the world. */
    interface World {
        /** Carries a call to an endpoint. */
        void carry(Life from, String route, List<Message.Attempt> attempts);

        /** Carries a check to an endpoint. */
        void check(Life from, String route);

        /** An answer is no longer waited for. */
        void givenUp(Life from, String route);

        /** An end is told. */
        void told(Message message);

        /** What discovery tells a relay that starts. */
        List<Endpoint> list(int relay);
    }

    private final int number;
    private final VirtualTime time;
    private final PolicySettings settings;
    private final long round;
    private final RelayComponents program;
    private final World world;
    private final InMemoryJournal journal = new InMemoryJournal();
    private Life life;

    EmulatedRelay(
            int number, VirtualTime time, PolicySettings settings, long round, RelayComponents program, World world) {
        this.number = number;
        this.time = time;
        this.settings = settings;
        this.round = round;
        this.program = program;
        this.world = world;
    }

    int number() {
        return number;
    }

    /** True where it runs. */
    boolean isUp() {
        return life != null;
    }

    /** Starts with what was recorded. */
    void start() {
        life = new Life();
        life.engine.start(EndpointListKind.FULL, 1, world.list(number));
    }

    /** Ends at once. What is on the wire goes on. */
    void die() {
        life.over = true;
        life = null;
    }

    void handIn(Message.Content content, Message.ClientReply client) {
        life.engine.accept(content, time.micros(), client);
    }

    /** It hears of a change of the list. */
    void hears(List<Endpoint> changes, long version) {
        if (life != null) {
            life.engine.onEndpointList(EndpointListKind.DELTA, version, changes);
        }
    }

    /** One process: what belongs to it ends with it. */
    final class Life implements UpstreamClient, CompletionNotifier {
        private final DeliveryEngine engine = new DeliveryEngine(
                this::later,
                program.clock().apply(time),
                settings,
                round,
                program.journal().apply(journal),
                program.module());
        /** Attempts that are out, each with the timer that ends it. */
        private final Map<Message.Attempt, Timers.Timer> out = new HashMap<>();

        private boolean over;

        Life() {
            // Guards against an error of the module that would pass for bad service.
            engine.setLogger(line -> {
                if (line.startsWith("a round failed")) {
                    throw new IllegalStateException("relay " + number + " at " + time.micros() + " us: " + line);
                }
            });
            engine.attach(this, this);
        }

        private Timers.Timer later(long micros, Runnable task) {
            return time.schedule(micros, () -> {
                if (!over) {
                    task.run();
                }
            });
        }

        int relay() {
            return number;
        }

        /**
         * Whether anything is still sent to what drains is left to the module: the model's calls wait for no
         * connection.
         */
        @Override
        public void onEndpointList(EndpointListKind kind, List<Endpoint> targets) {}

        @Override
        public void send(String route, List<OutboundAttempt> outgoing) {
            for (OutboundAttempt one : outgoing) {
                out.put(
                        one.attempt(),
                        later(
                                one.timeoutMicros(),
                                () -> end(one.attempt(), AttemptOutcome.TIMEOUT, 0, LimitReport.NONE)));
            }
            world.carry(
                    this, route, outgoing.stream().map(OutboundAttempt::attempt).toList());
        }

        /** An answer has come, or is known to be lost; without effect where the attempt is over. */
        void end(Message.Attempt attempt, AttemptOutcome result, long wait, LimitReport report) {
            Timers.Timer timer = over ? null : out.remove(attempt);
            if (timer != null) {
                timer.cancel();
                if (result == AttemptOutcome.TIMEOUT || result == AttemptOutcome.CANCELLED) {
                    world.givenUp(this, attempt.route());
                }
                engine.onAttemptCompleted(attempt, result, result == AttemptOutcome.OK, wait, report);
            }
        }

        void probed(String route, AttemptOutcome result, long wait, long took, LimitReport report) {
            if (!over) {
                engine.onProbeCompleted(route, result, wait, took, report);
            }
        }

        @Override
        public void cancel(Message.Attempt attempt) {
            end(attempt, AttemptOutcome.CANCELLED, 0, LimitReport.NONE);
        }

        @Override
        public void probe(String route) {
            world.check(this, route);
        }

        @Override
        public void closeIdleConnections(String route) {}

        @Override
        public void notifyCompletion(Message message) {
            world.told(message);
            engine.onCompletionAcknowledged(message);
        }
    }
}
