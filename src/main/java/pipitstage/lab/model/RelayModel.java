package pipitstage.lab.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pipitstage.Policy;
import pipitstage.Policy.LimitReport;
import pipitstage.Policy.ListKind;
import pipitstage.Policy.Result;
import pipitstage.engine.Ends;
import pipitstage.engine.Engine;
import pipitstage.engine.Message;
import pipitstage.engine.Partners;
import pipitstage.engine.Target;
import pipitstage.engine.Timers;

/** One relay: an engine with its decision module, which dies and comes back with what its journal holds. */
final class RelayModel {
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
        List<Target> list(int relay);
    }

    private final int number;
    private final VirtualTime time;
    private final Policy.Settings settings;
    private final long round;
    private final Program program;
    private final World world;
    private final MemoryJournal journal = new MemoryJournal();
    private Life life;

    RelayModel(int number, VirtualTime time, Policy.Settings settings, long round, Program program, World world) {
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
        life.engine.start(ListKind.FULL, 1, world.list(number));
    }

    /** Ends at once. What is on the wire goes on. */
    void die() {
        life.over = true;
        life = null;
    }

    void handIn(Message.Content content, Message.ClientReply client) {
        life.engine.takeOn(content, time.micros(), client);
    }

    /** It hears of a change of the list. */
    void hears(List<Target> changes, long version) {
        if (life != null) {
            life.engine.list(ListKind.CHANGES, version, changes);
        }
    }

    /** One process: what belongs to it ends with it. */
    final class Life implements Partners, Ends {
        private final Engine engine = new Engine(
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
            engine.logTo(line -> {
                if (line.startsWith("a round failed")) {
                    throw new IllegalStateException("relay " + number + " at " + time.micros() + " us: " + line);
                }
            });
            engine.attach(this, this);
        }

        private Timers.Timer later(long micros, Runnable task) {
            return time.after(micros, () -> {
                if (!over) {
                    task.run();
                }
            });
        }

        int relay() {
            return number;
        }

        /** Whether anything is still sent to what drains is left to the module: the model's calls wait for no connection. */
        @Override
        public void list(ListKind kind, List<Target> targets) {}

        @Override
        public void send(String route, List<Outgoing> outgoing) {
            for (Outgoing one : outgoing) {
                out.put(
                        one.attempt(),
                        later(one.timeout(), () -> end(one.attempt(), Result.TIMEOUT, 0, LimitReport.NONE)));
            }
            world.carry(this, route, outgoing.stream().map(Outgoing::attempt).toList());
        }

        /** An answer has come, or is known to be lost; without effect where the attempt is over. */
        void end(Message.Attempt attempt, Result result, long wait, LimitReport report) {
            Timers.Timer timer = over ? null : out.remove(attempt);
            if (timer != null) {
                timer.cancel();
                if (result == Result.TIMEOUT || result == Result.CANCELLED) {
                    world.givenUp(this, attempt.route());
                }
                engine.ended(attempt, result, result == Result.OK, wait, report);
            }
        }

        void probed(String route, Result result, long wait, long took, LimitReport report) {
            if (!over) {
                engine.probed(route, result, wait, took, report);
            }
        }

        @Override
        public void cancel(Message.Attempt attempt) {
            end(attempt, Result.CANCELLED, 0, LimitReport.NONE);
        }

        @Override
        public void probe(String route) {
            world.check(this, route);
        }

        @Override
        public void closeIdle(String route) {}

        @Override
        public void send(Message message) {
            world.told(message);
            engine.noticeHeard(message);
        }
    }
}
