package pipitstage;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/** Translates the simulator's messages into events and settings, and actions into its commands. */
public final class WireCodec {
    private static final String EVERY_PEER = "*";

    /** Lists named by number; they belong to the process and are replaced as they come. */
    private final Map<Long, List<Policy.Listed>> directories = new HashMap<>();

    /** Remembers a numbered list of hosts. */
    void directory(Fields message) {
        List<Policy.Listed> entries = new ArrayList<>();
        for (Object line : message.list(2)) {
            Fields entry = Fields.ofArray("directory entry", line);
            entries.add(new Policy.Listed(
                    entry.text(4),
                    (int) entry.whole(5),
                    entry.text(0),
                    entry.text(2),
                    availability(entry.text(1)),
                    entry.number(6, 0)));
        }
        directories.put(message.whole(1), List.copyOf(entries));
    }

    /** Reads one event of an instance; {@code name} is the first value of the message. */
    Policy.Event event(String name, Fields message) {
        return switch (name) {
            case "job-in" -> new Policy.Accepted(
                    message.whole(1),
                    message.text(2),
                    message.textOrNull(3),
                    message.textOrNull(4),
                    message.micros(5),
                    (int) message.whole(7));
            case "flowing" -> new Policy.AnswerStarted(message.whole(1), (int) message.whole(4), message.text(3));
            case "outcome" -> outcome(message);
            case "dropped" -> new Policy.Withdrawn(message.whole(1));
            case "reminder" -> new Policy.TimerFired(message.whole(1));
            case "discovery" -> routeList(message);
            case "probe-done" -> new Policy.ProbeDone(
                    message.text(1), result(message.text(2)), 0, message.micros(3, 0), report(message, 4));
            case "memo" -> new Policy.PeerNote((int) message.whole(1), bytes(message.text(2)));
            default -> throw new WireException("unknown event " + name);
        };
    }

    private static Policy.Outcome outcome(Fields message) {
        Policy.Result result = result(message.text(4));
        long wait = result == Policy.Result.FULL ? message.whole(2, 0) * 1000 : 0;
        return new Policy.Outcome(
                message.whole(1),
                (int) message.whole(5),
                message.text(6),
                result,
                message.flag(3),
                wait,
                message.micros(7, 0),
                report(message, 8));
    }

    private Policy.RouteList routeList(Fields message) {
        Policy.ListKind kind =
                switch (message.text(1)) {
                    case "full" -> Policy.ListKind.FULL;
                    case "cached" -> Policy.ListKind.CACHED;
                    case "delta" -> Policy.ListKind.CHANGES;
                    case "failed" -> Policy.ListKind.FAILED;
                    default -> throw new WireException("discovery: unknown kind " + message.text(1));
                };
        if (kind == Policy.ListKind.FAILED) {
            return new Policy.RouteList(kind, message.whole(2, 0), List.of());
        }
        List<Policy.Listed> entries = directories.get(message.whole(3));
        if (entries == null) {
            throw new WireException("discovery: no directory " + message.whole(3));
        }
        return new Policy.RouteList(kind, message.whole(2), entries);
    }

    private static Policy.LimitReport report(Fields message, int at) {
        if (!(message.value(at) instanceof Map<?, ?>)) {
            return Policy.LimitReport.NONE;
        }
        Fields report = message.object(at);
        return new Policy.LimitReport(report.number("x0", Double.NaN), report.number("x1", Double.NaN));
    }

    private static Policy.Result result(String code) {
        return switch (code) {
            case "ok" -> Policy.Result.OK;
            case "error" -> Policy.Result.ERROR;
            case "full" -> Policy.Result.FULL;
            case "timeout" -> Policy.Result.TIMEOUT;
            case "connect_failed" -> Policy.Result.CONNECT_FAILED;
            case "reset" -> Policy.Result.RESET;
            case "cancelled" -> Policy.Result.CANCELLED;
            case "moot" -> Policy.Result.NOT_SENT;
            default -> throw new WireException("unknown completion code " + code);
        };
    }

    private static Policy.Availability availability(String word) {
        return switch (word) {
            case "IN" -> Policy.Availability.LISTED;
            case "LAME" -> Policy.Availability.DRAINING;
            case "OUT" -> Policy.Availability.REMOVED;
            default -> throw new WireException("directory entry: unknown availability " + word);
        };
    }

    private static byte[] bytes(String hex) {
        try {
            return HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new WireException("memo: blob is not hex");
        }
    }

    /** Reads the settings of a {@code launch}, which a relay on sockets finds in its configuration. */
    public static Policy.Settings settings(long seed, Fields params) {
        Fields info = params.object("family-info");
        return new Policy.Settings(
                seed,
                (int) params.whole("me"),
                (int) params.whole("fleet-size"),
                params.text("zone"),
                classes(params),
                tenants(params),
                kinds(params, info),
                zones(params, info),
                limits(params.object("limits"), info),
                rules(params.object("contract")),
                params.number("over-share-worth", 1),
                "by_half".equals(info.textOrNull("fades")),
                "subscribe".equals(params.textOrNull("registry-mode")),
                rateHint(params),
                params.object("fees").number("cross-zone", 0));
    }

    private static Policy.RateHint rateHint(Fields params) {
        String source = params.textOrNull("weight-source");
        return source == null
                ? Policy.RateHint.NONE
                : switch (source) {
                    case "nominal" -> Policy.RateHint.NOMINAL;
                    case "rough" -> Policy.RateHint.ROUGH;
                    default -> Policy.RateHint.NONE;
                };
    }

    private static List<Policy.RequestClass> classes(Fields params) {
        List<Policy.RequestClass> classes = new ArrayList<>();
        for (Object json : params.list("classes")) {
            Fields entry = Fields.ofObject("classes", json);
            classes.add(new Policy.RequestClass(
                    entry.text("name"),
                    repeat(entry.text("repeat")),
                    scope(entry),
                    entry.micros("dedup-window-s", 0),
                    entry.micros("goal-time-s"),
                    entry.micros("deadline-s"),
                    entry.number("worth", 1),
                    entry.number("late-worth", 0),
                    entry.flag("fifo-by-key")));
        }
        return classes;
    }

    private static Policy.Repeat repeat(String word) {
        return switch (word) {
            case "repeatable" -> Policy.Repeat.REPEATABLE;
            case "by_key" -> Policy.Repeat.BY_KEY;
            case "once" -> Policy.Repeat.ONCE;
            default -> throw new WireException("classes: unknown repeat " + word);
        };
    }

    private static Policy.KeyScope scope(Fields entry) {
        String word = entry.textOrNull("key-scope");
        return word == null
                ? Policy.KeyScope.ALL
                : switch (word) {
                    case "all" -> Policy.KeyScope.ALL;
                    case "zone" -> Policy.KeyScope.ZONE;
                    case "cell" -> Policy.KeyScope.CELL;
                    default -> throw new WireException("classes: unknown key-scope " + word);
                };
    }

    private static List<Policy.Tenant> tenants(Fields params) {
        List<Policy.Tenant> tenants = new ArrayList<>();
        for (Object json : params.list("accounts")) {
            Fields entry = Fields.ofObject("accounts", json);
            tenants.add(new Policy.Tenant(entry.text("name"), entry.number("quota-rps", 0)));
        }
        return tenants;
    }

    private static List<Policy.Kind> kinds(Fields params, Fields info) {
        List<?> names = params.list("kinds");
        List<?> apart = info.list("routes-apart");
        List<?> batches = info.list("batch-by-kind");
        List<Policy.Kind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            int batch = i < batches.size() && batches.get(i) instanceof Number n ? n.intValue() : 1;
            boolean separate = i < apart.size() && Boolean.TRUE.equals(apart.get(i));
            kinds.add(new Policy.Kind(String.valueOf(names.get(i)), separate, batch));
        }
        return kinds;
    }

    private static List<Policy.Zone> zones(Fields params, Fields info) {
        List<?> names = params.list("zones");
        List<?> tolls = info.list("toll");
        List<Policy.Zone> zones = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            double toll = i < tolls.size() && tolls.get(i) instanceof Number n ? n.doubleValue() : 0;
            zones.add(new Policy.Zone(String.valueOf(names.get(i)), toll));
        }
        return zones;
    }

    private static Policy.Limits limits(Fields limits, Fields info) {
        return new Policy.Limits(
                (int) info.whole("call-slots"),
                (int) limits.whole("max-open"),
                (int) limits.whole("send-cap"),
                limits.flag("may-cancel"),
                limits.flag("probes"),
                limits.flag("peers"),
                limits.flag("second-copies"),
                limits.flag("retry-after"),
                limits.micros("connect-timeout-s", 0));
    }

    private static Policy.Rules rules(Fields contract) {
        return new Policy.Rules(
                contract.micros("answer-slack-s", 0),
                contract.micros("drain-grace-s", 0),
                contract.number("fall-multiple", 1),
                contract.micros("fall-s", 0),
                contract.number("cold-from", 0),
                contract.micros("warm-up-s", 0),
                contract.micros("must-ask-in-s", 0),
                contract.micros("order-pause-s", 0));
    }

    /** Writes actions as the commands of one instance. */
    record Commands(JsonGenerator json) implements Policy.Actions {
        @Override
        public void send(long id, String route, long timeout, long leaveWithin) {
            write("place", id, route, timeout / 1e6);
        }

        @Override
        public void cancel(long id, int attempt) {
            write("withdraw", id, attempt);
        }

        @Override
        public void refuse(long id, long retryIn) {
            write("deny", id, retryIn / 1e6);
        }

        @Override
        public void fail(long id) {
            write("end-failed", id);
        }

        @Override
        public void remind(long name, long delay) {
            write("remind", name, delay / 1e6);
        }

        @Override
        public void probe(String route) {
            write("inspect", route);
        }

        @Override
        public void closeIdle(String route) {
            write("let-go", route);
        }

        @Override
        public void tell(int relay, byte[] bytes) {
            String hex = HexFormat.of().formatHex(bytes);
            if (relay < 0) {
                write("memo-to", EVERY_PEER, hex);
            } else {
                write("memo-to", relay, hex);
            }
        }

        @Override
        public void subscribe(boolean on) {
            write("subscribe", on);
        }

        @Override
        public void fetchList() {
            write("list-all");
        }

        @Override
        public void log(String text) {
            write("journal-line", text);
        }

        void internalError(String text) {
            write("internal-error", text);
        }

        private void write(Object... values) {
            try {
                json.writeStartArray();
                for (Object value : values) {
                    json.writePOJO(value);
                }
                json.writeEndArray();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
