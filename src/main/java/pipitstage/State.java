package pipitstage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pipitstage.Policy.Accepted;
import pipitstage.Policy.Listed;
import pipitstage.Policy.RequestClass;
import pipitstage.Policy.Result;

/** What {@link Logic} remembers; it holds no decision. */
final class State {
    private State() {}

    enum CircuitState {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    /** The circuit of a route or of a whole limit group. */
    static final class Circuit {
        CircuitState state = CircuitState.CLOSED;
        int run;
        long openedAt;
        long until;
        boolean bySilence;
        /** When the last call that failed had been sent. */
        long failedFrom;
        /** Open only until a check has shown that an address of an old list is still the route's. */
        boolean forCheck;

        boolean testing;
    }

    /** A count of events that fades with time. */
    static final class Rate {
        double count;
        long at;
        /** When the first was counted; 0 where none was. */
        long since;
    }

    static final class Route {
        final String name;
        final String kind;
        final String zone;
        final Destination destination;
        final Group group;
        final Circuit circuit;
        boolean listed;
        /** Known from an old list alone, and not proven since: a check goes first. */
        boolean unproven;
        /** As above, and only to be tried where its destination has nothing else. */
        boolean last;

        double rate;
        double placeBonus;
        double errorRate;
        double response;
        /** When the latest call that was answered had been sent. */
        long provenFrom;

        long answeredAt;
        final ArrayDeque<Call> out = new ArrayDeque<>();

        Route(Listed entry, Destination destination, Group group, boolean apart) {
            name = entry.route();
            kind = entry.kind();
            zone = entry.zone();
            this.destination = destination;
            this.group = group;
            circuit = apart ? group.circuit : new Circuit();
        }
    }

    /** What shares one limit: a route where routes are apart, else all routes of the destination. */
    static final class Group {
        final int number;
        final Circuit circuit = new Circuit();
        final List<Route> routes = new ArrayList<>();
        final Rate served = new Rate();
        final Rate sent = new Rate();
        double pace = Double.POSITIVE_INFINITY;
        /** True from the first cut to the next one, where no limit is known: the pace is far below or above what is borne. */
        boolean seeking;

        long nextAt;
        long waitUntil;
        long cutAt = Long.MIN_VALUE / 2;
        long grownAt;
        int refusals;
        long refusedSince;
        double reportedRate;
        double usualRate;
        long releasedAt = Long.MIN_VALUE / 2;
        int calls;
        boolean asked;
        boolean reports;
        long askedAt;
        long turnUntil;
        long guardedUntil;
        final Keeper keeper = new Keeper();

        Group(int number) {
            this.number = number;
        }
    }

    /** What notes between relays say of a group. */
    enum Word {
        NONE,
        WANT,
        REFUSED,
        FAILED,
        SERVED,
        TURN,
        TEST,
        GUARD;

        static Word of(int ordinal) {
            return ordinal > 0 && ordinal < values().length ? values()[ordinal] : NONE;
        }
    }

    /** What the relay that gives a group's turns remembers. */
    static final class Keeper {
        final Set<Integer> askers = new LinkedHashSet<>();
        double factor = 1;
        int failures;
        long nextAt;
        long cutAt = Long.MIN_VALUE / 2;
        long upAt = Long.MIN_VALUE / 2;
        long guardedAt = Long.MIN_VALUE / 2;
        long grownAt;
    }

    static final class Destination {
        final Map<String, Route> routes = new LinkedHashMap<>();
        final Set<Request> waiting = new LinkedHashSet<>();
        final Rate came = new Rate();
        final Rate lost = new Rate();
    }

    /** One call at a destination, which may carry several requests. */
    static final class Call {
        final Route route;
        final long sentAt;
        final boolean test;
        final List<Request> requests = new ArrayList<>(1);
        int pending;
        boolean judged;
        boolean dropped;

        Call(Route route, long sentAt, boolean test) {
            this.route = route;
            this.sentAt = sentAt;
            this.test = test;
        }
    }

    static final class Attempt {
        final Call call;
        Result result;

        Attempt(Call call) {
            this.call = call;
        }
    }

    static final class Request {
        final long id;
        final RequestClass type;
        final String key;
        final long acceptedAt;
        final long deadline;
        final Destination destination;
        final List<Attempt> attempts = new ArrayList<>();
        int out;
        boolean done;
        /** Over, but whoever is to hear so has not. */
        boolean unheard;
        /** A restart has found it. */
        boolean resumed;

        Request(Accepted e, RequestClass type, Destination destination) {
            id = e.id();
            this.type = type;
            key = type.inOrder() ? e.key() : null;
            deadline = e.deadline();
            acceptedAt = deadline - type.deadline();
            this.destination = destination;
        }

        /** True while a call is still owed to what a restart has found: nobody else can make one. */
        boolean isUntried() {
            return resumed && attempts.isEmpty();
        }

        Route lastRoute() {
            return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1).call.route;
        }
    }

    /** The requests of one key in the order accepted. */
    static final class OrderLine {
        final ArrayDeque<Request> requests = new ArrayDeque<>();
        long restUntil;
    }
}
