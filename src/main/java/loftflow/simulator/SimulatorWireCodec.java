package loftflow.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.policy.api.AttemptCompleted;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;
import loftflow.policy.api.EndpointListKind;
import loftflow.policy.api.EndpointListReceived;
import loftflow.policy.api.LimitReport;
import loftflow.policy.api.MessageAccepted;
import loftflow.policy.api.MessageWithdrawn;
import loftflow.policy.api.PeerMessage;
import loftflow.policy.api.PolicyActions;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.ResponseStarted;
import loftflow.policy.api.TimerFired;

/** Translates the simulator's messages into events and settings, and actions into its commands. */
public final class SimulatorWireCodec {
    private static final String EVERY_PEER = "*";

    /** Lists named by number; they belong to the process and are replaced as they come. */
    private final Map<Long, List<EndpointEntry>> directories = new HashMap<>();

    /** Remembers a numbered list of hosts. */
    void directory(JsonFields message) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (Object line : message.list(2)) {
            JsonFields entry = JsonFields.ofArray("directory entry", line);
            entries.add(new EndpointEntry(
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
    PolicyEvent event(String name, JsonFields message) {
        return switch (name) {
            case "job-in" -> new MessageAccepted(
                    message.whole(1),
                    message.text(2),
                    message.textOrNull(3),
                    message.textOrNull(4),
                    message.micros(5),
                    (int) message.whole(7));
            case "flowing" -> new ResponseStarted(message.whole(1), (int) message.whole(4), message.text(3));
            case "outcome" -> outcome(message);
            case "dropped" -> new MessageWithdrawn(message.whole(1));
            case "reminder" -> new TimerFired(message.whole(1));
            case "discovery" -> routeList(message);
            case "probe-done" -> new ProbeCompleted(
                    message.text(1), result(message.text(2)), 0, message.micros(3, 0), report(message, 4));
            case "memo" -> new PeerMessage((int) message.whole(1), bytes(message.text(2)));
            default -> throw new MalformedInputException("unknown event " + name);
        };
    }

    private static AttemptCompleted outcome(JsonFields message) {
        AttemptOutcome result = result(message.text(4));
        long wait = result == AttemptOutcome.REJECTED ? message.whole(2, 0) * 1000 : 0;
        return new AttemptCompleted(
                message.whole(1),
                (int) message.whole(5),
                message.text(6),
                result,
                message.flag(3),
                wait,
                message.micros(7, 0),
                report(message, 8));
    }

    private EndpointListReceived routeList(JsonFields message) {
        EndpointListKind kind =
                switch (message.text(1)) {
                    case "full" -> EndpointListKind.FULL;
                    case "cached" -> EndpointListKind.CACHED;
                    case "delta" -> EndpointListKind.DELTA;
                    case "failed" -> EndpointListKind.FAILED;
                    default -> throw new MalformedInputException("discovery: unknown kind " + message.text(1));
                };
        if (kind == EndpointListKind.FAILED) {
            return new EndpointListReceived(kind, message.whole(2, 0), List.of());
        }
        List<EndpointEntry> entries = directories.get(message.whole(3));
        if (entries == null) {
            throw new MalformedInputException("discovery: no directory " + message.whole(3));
        }
        return new EndpointListReceived(kind, message.whole(2), entries);
    }

    private static LimitReport report(JsonFields message, int at) {
        if (!(message.value(at) instanceof Map<?, ?>)) {
            return LimitReport.NONE;
        }
        JsonFields report = message.object(at);
        return new LimitReport(report.number("x0", Double.NaN), report.number("x1", Double.NaN));
    }

    private static AttemptOutcome result(String code) {
        return switch (code) {
            case "ok" -> AttemptOutcome.OK;
            case "error" -> AttemptOutcome.ERROR;
            case "full" -> AttemptOutcome.REJECTED;
            case "timeout" -> AttemptOutcome.TIMEOUT;
            case "connect_failed" -> AttemptOutcome.CONNECT_FAILED;
            case "reset" -> AttemptOutcome.RESET;
            case "cancelled" -> AttemptOutcome.CANCELLED;
            case "moot" -> AttemptOutcome.NOT_SENT;
            default -> throw new MalformedInputException("unknown completion code " + code);
        };
    }

    private static Availability availability(String word) {
        return switch (word) {
            case "IN" -> Availability.LISTED;
            case "LAME" -> Availability.DRAINING;
            case "OUT" -> Availability.REMOVED;
            default -> throw new MalformedInputException("directory entry: unknown availability " + word);
        };
    }

    private static byte[] bytes(String hex) {
        try {
            return HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new MalformedInputException("memo: blob is not hex");
        }
    }

    /** Writes actions as the commands of one instance. */
    record Commands(JsonGenerator json) implements PolicyActions {
        @Override
        public void send(long id, String route, long timeout, long leaveWithin) {
            write("place", id, route, timeout / 1e6);
        }

        @Override
        public void cancel(long id, int attempt) {
            write("withdraw", id, attempt);
        }

        @Override
        public void reject(long id, long retryIn) {
            write("deny", id, retryIn / 1e6);
        }

        @Override
        public void fail(long id) {
            write("end-failed", id);
        }

        @Override
        public void setTimer(long name, long delay) {
            write("remind", name, delay / 1e6);
        }

        @Override
        public void probe(String route) {
            write("inspect", route);
        }

        @Override
        public void closeIdleConnections(String route) {
            write("let-go", route);
        }

        @Override
        public void sendToPeer(int relay, byte[] bytes) {
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
        public void fetchEndpointList() {
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
