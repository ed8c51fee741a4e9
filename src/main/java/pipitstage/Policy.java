package pipitstage;

import java.util.List;

/**
 * What a relay tells its decision module and what the module may answer.
 *
 * <p>All times and spans are in microseconds, on the clock of the rounds. A relay calls
 * {@link #onRound} whenever something has happened and carries out the actions in the order given.
 */
public interface Policy {

    /** Takes in every event of one round, in order of arrival, and then acts once. */
    void onRound(long now, List<Event> events, Actions actions);

    /** What is worth remembering of each listed route over a restart; a module may have nothing to tell. */
    default List<Standing> standings(long now) {
        return List.of();
    }

    private static void check(boolean sound, String field) {
        if (!sound) {
            throw new IllegalArgumentException(field);
        }
    }

    /** How often a request may take effect. */
    enum Repeat {
        REPEATABLE,
        BY_KEY,
        ONCE
    }

    /** Which routes of a destination drop a repeated key: all of them, or those in one zone or cell. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt ended. */
    enum Result {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        NOT_SENT;

        /** True where the attempt surely had no effect. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
        }
    }

    /** What the rate listed with a route is worth: nothing, exact, or up to half too high or too low. */
    enum RateHint {
        NONE,
        NOMINAL,
        ROUGH
    }

    /** State of a route in a list. */
    enum Availability {
        LISTED,
        DRAINING,
        REMOVED
    }

    /** What a route list holds: the whole list now, the last one known, changes, or news of a failed call. */
    enum ListKind {
        FULL,
        CACHED,
        CHANGES,
        FAILED
    }

    /** A class of request. {@code lateWorth} is the share of {@code worth} left at the deadline. */
    record RequestClass(
            String name,
            Repeat repeat,
            KeyScope keyScope,
            long keyWindow,
            long goal,
            long deadline,
            double worth,
            double lateWorth,
            boolean inOrder) {
        public RequestClass {
            check(goal >= 0 && deadline > goal, "goal and deadline of class " + name);
            check(keyWindow >= 0, "keyWindow of class " + name);
        }
    }

    /** A tenant and the requests a second, over all relays, that count as its share. */
    record Tenant(String name, double quota) {}

    /** A kind of destination. {@code batch} is the most requests that travel in one call. */
    record Kind(String name, boolean routesApart, int batch) {}

    /** A zone and the price of an attempt that a route apart takes on there. */
    record Zone(String name, double toll) {}

    /** What this relay is allowed. */
    record Limits(
            int callSlots,
            int maxOpen,
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean secondCopies,
            boolean retryAdvice,
            long connectTimeout) {
        public Limits {
            check(callSlots > 0, "callSlots: must be above 0");
            check(maxOpen > 0, "maxOpen: must be above 0");
            check(maxAttempts > 0, "maxAttempts: must be above 0");
        }
    }

    /** Figures of the rules; {@code orderPause} is 0 where no order is asked for. */
    record Rules(
            long answerSlack,
            long drainGrace,
            double fallMultiple,
            long fallSpan,
            double coldFrom,
            long warmUp,
            long mustAskIn,
            long orderPause) {
        public Rules {
            check(drainGrace >= 0 && fallSpan >= 0 && warmUp >= 0, "spans of the rules: must not be negative");
            check(orderPause >= 0, "orderPause: must not be negative");
        }
    }

    /** Everything a module is told at its start. */
    record Settings(
            long seed,
            int relay,
            int fleetSize,
            String zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            List<Kind> kinds,
            List<Zone> zones,
            Limits limits,
            Rules rules,
            double overShareWorth,
            boolean fadesByHalf,
            boolean mustSubscribe,
            RateHint rateHint,
            double crossZonePrice) {
        public Settings {
            check(!classes.isEmpty(), "classes: at least one is needed");
            check(fleetSize > 0, "fleetSize: must be above 0");
            check(rules.fallMultiple() > 0, "fallMultiple: must be above 0");
        }
    }

    /** A route as listed. {@code rate} means what the settings' {@link RateHint} says. */
    record Listed(String route, int destination, String kind, String zone, Availability availability, double rate) {}

    /** What a destination told of its limit: the share left and the calls a second, NaN where untold. */
    record LimitReport(double left, double rate) {
        /** Nothing was told. */
        public static final LimitReport NONE = new LimitReport(Double.NaN, Double.NaN);
    }

    /** Something that happened. */
    sealed interface Event {}

    /** A request was accepted and is owed one final answer. {@code tenant} and {@code key} may be null. */
    record Accepted(long id, String requestClass, String tenant, String key, long deadline, int destination)
            implements Event {}

    /** An attempt made before a restart; {@code result} is null where nothing is known of it. */
    record PastAttempt(String route, long sentAt, Result result) {}

    /** How far a route of an old list is believed: as one just listed, after a test, after a test if nothing is left. */
    enum Belief {
        AS_LISTED,
        TRY_FIRST,
        LAST
    }

    /**
     * What a module knows of a route. Spans are in microseconds from now, rates in calls a second; 0 where unknown.
     *
     * @param waitLeft how long a told wait runs on
     * @param limit calls a second that it takes from all relays, as it reported
     * @param usual calls a second of this relay while it served as ever
     * @param out its circuit is not closed
     * @param warmLeft how long it stays cold after its return
     */
    record Standing(
            String route, long waitLeft, double limit, double usual, double response, boolean out, long warmLeft) {}

    /** A listed route is known from before a restart; comes with the list, before anything goes to the route. */
    record Remembered(Belief belief, Standing standing) implements Event {}

    /** A request that was accepted before a restart is owed its answer still. */
    record Resumed(Accepted request, List<PastAttempt> attempts) implements Event {}

    /** The answer of an attempt has begun to arrive; its time-out no longer applies. */
    record AnswerStarted(long id, int attempt, String route) implements Event {}

    /** An attempt ended. {@code toldWait} is 0 where none was told; {@code closed} means nothing is owed. */
    record Outcome(
            long id,
            int attempt,
            String route,
            Result result,
            boolean closed,
            long toldWait,
            long elapsed,
            LimitReport report)
            implements Event {}

    /** The client gave the request up. */
    record Withdrawn(long id) implements Event {}

    /** A timer set by {@link Actions#remind} fell due. */
    record TimerFired(long name) implements Event {}

    /**
     * The list that is known is from before a restart, and who knows better has been asked: until news of the list come, or a
     * span is over, nothing is to go by it.
     */
    record AwaitList(long span) implements Event {}

    /** News of the route list. */
    record RouteList(ListKind kind, long version, List<Listed> entries) implements Event {}

    /** A restart has found a request whose end is decided, and has still to be heard. */
    record Ending(Accepted request) implements Event {}

    /** The end of a request in order, of which {@link Actions#isHeard} was false, has been heard. */
    record EndHeard(long id) implements Event {}

    /** A route has told this relay to wait; the call that was told so may be over, or go on. */
    record WaitTold(String route, long span) implements Event {}

    /** A probe ended; {@code toldWait} is 0 where none was told. */
    record ProbeDone(String route, Result result, long toldWait, long elapsed, LimitReport report) implements Event {}

    /** A note came from another relay. */
    record PeerNote(int from, byte[] bytes) implements Event {}

    /** What a module may do; each call takes effect at the time of the round. */
    interface Actions {
        /**
         * Starts the next attempt of a request.
         *
         * @param timeout how long its answer is waited for; 0 means until the request's deadline
         * @param leaveWithin an attempt that has not begun to leave after so long ends as not sent; 0 means no bound
         */
        void send(long id, String route, long timeout, long leaveWithin);

        /** Stops waiting for an attempt. */
        void cancel(long id, int attempt);

        /** Ends a request as safe to hand in again, after {@code retryIn} where that is above 0. */
        void refuse(long id, long retryIn);

        /** Ends a request; whether it took effect stays untold. */
        void fail(long id);

        /** Asks for a {@link TimerFired} after a delay. */
        void remind(long name, long delay);

        /** Sends a check to a route; it counts as a call there. */
        void probe(String route);

        /** True where whoever is to hear how a request ended has heard it: until then those after it in order wait. */
        default boolean isHeard(long id) {
            return true;
        }

        /** Closes this relay's idle connections to a route. */
        void closeIdle(String route);

        /** Sends a note to one relay, or to all where {@code relay} is negative. */
        void tell(int relay, byte[] bytes);

        /** Asks for changes of the list from now on, or for no more of them. */
        void subscribe(boolean on);

        /** Asks for the whole list once. */
        void fetchList();

        /** Writes a line for staff. */
        void log(String text);
    }
}
