package loftflow.simulator;

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
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.ProbeCompleted;
import loftflow.policy.api.ResponseStarted;
import loftflow.policy.api.TimerFired;

/**
 * Reads the events of the simulator's wire. One host has one reader, since lists are numbered for the whole process.
 */
final class SimulatorEventReader {
    private static final long MICROS_PER_MILLI = 1000;

    /** Lists named by number; they belong to the process and are replaced as they come. */
    private final Map<Long, List<EndpointEntry>> directories = new HashMap<>();

    /** Remembers a numbered list of hosts. */
    void directory(JsonFields message) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (Object line : message.listOrEmpty(2)) {
            JsonFields entry = JsonFields.ofArray("directory entry", line);
            entries.add(new EndpointEntry(
                    entry.text(4),
                    (int) entry.wholeNumber(5),
                    entry.text(0),
                    entry.text(2),
                    availability(entry.text(1)),
                    entry.number(6, 0)));
        }
        directories.put(message.wholeNumber(1), List.copyOf(entries));
    }

    /** Reads one event of an instance; {@code name} is the first value of the message. */
    PolicyEvent event(String name, JsonFields message) {
        return switch (name) {
            case SimulatorProtocol.MESSAGE_ACCEPTED -> new MessageAccepted(
                    message.wholeNumber(1),
                    message.text(2),
                    message.textOrNull(3),
                    message.textOrNull(4),
                    message.secondsAsMicros(5),
                    (int) message.wholeNumber(7));
            case SimulatorProtocol.RESPONSE_STARTED -> new ResponseStarted(
                    message.wholeNumber(1), (int) message.wholeNumber(4), message.text(3));
            case SimulatorProtocol.ATTEMPT_COMPLETED -> attemptCompleted(message);
            case SimulatorProtocol.MESSAGE_WITHDRAWN -> new MessageWithdrawn(message.wholeNumber(1));
            case SimulatorProtocol.TIMER_FIRED -> new TimerFired(message.wholeNumber(1));
            case SimulatorProtocol.ENDPOINT_LIST -> endpointList(message);
            case SimulatorProtocol.PROBE_COMPLETED -> new ProbeCompleted(
                    message.text(1), outcome(message.text(2)), 0, message.secondsAsMicros(3, 0), report(message, 4));
            case SimulatorProtocol.PEER_MESSAGE -> new PeerMessage(
                    (int) message.wholeNumber(1), bytes(message.text(2)));
            default -> throw new MalformedInputException("unknown event " + name);
        };
    }

    private static AttemptCompleted attemptCompleted(JsonFields message) {
        AttemptOutcome outcome = outcome(message.text(4));
        long retryAfterMicros = outcome == AttemptOutcome.REJECTED ? message.wholeNumber(2, 0) * MICROS_PER_MILLI : 0;
        return new AttemptCompleted(
                message.wholeNumber(1),
                (int) message.wholeNumber(5),
                message.text(6),
                outcome,
                message.booleanOrFalse(3),
                retryAfterMicros,
                message.secondsAsMicros(7, 0),
                report(message, 8));
    }

    private EndpointListReceived endpointList(JsonFields message) {
        EndpointListKind kind =
                switch (message.text(1)) {
                    case SimulatorProtocol.LIST_FULL -> EndpointListKind.FULL;
                    case SimulatorProtocol.LIST_CACHED -> EndpointListKind.CACHED;
                    case SimulatorProtocol.LIST_DELTA -> EndpointListKind.DELTA;
                    case SimulatorProtocol.LIST_FAILED -> EndpointListKind.FAILED;
                    default -> throw new MalformedInputException("discovery: unknown kind " + message.text(1));
                };
        if (kind == EndpointListKind.FAILED) {
            return new EndpointListReceived(kind, message.wholeNumber(2, 0), List.of());
        }
        List<EndpointEntry> entries = directories.get(message.wholeNumber(3));
        if (entries == null) {
            throw new MalformedInputException("discovery: no directory " + message.wholeNumber(3));
        }
        return new EndpointListReceived(kind, message.wholeNumber(2), entries);
    }

    private static LimitReport report(JsonFields message, int at) {
        if (!(message.value(at) instanceof Map<?, ?>)) {
            return LimitReport.NONE;
        }
        JsonFields report = message.object(at);
        return new LimitReport(
                report.number(SimulatorProtocol.REMAINING_LIMIT_SHARE, Double.NaN),
                report.number(SimulatorProtocol.LIMIT_PER_SECOND, Double.NaN));
    }

    private static AttemptOutcome outcome(String code) {
        return switch (code) {
            case SimulatorProtocol.OUTCOME_OK -> AttemptOutcome.OK;
            case SimulatorProtocol.OUTCOME_ERROR -> AttemptOutcome.ERROR;
            case SimulatorProtocol.OUTCOME_REJECTED -> AttemptOutcome.REJECTED;
            case SimulatorProtocol.OUTCOME_TIMEOUT -> AttemptOutcome.TIMEOUT;
            case SimulatorProtocol.OUTCOME_CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
            case SimulatorProtocol.OUTCOME_RESET -> AttemptOutcome.RESET;
            case SimulatorProtocol.OUTCOME_CANCELLED -> AttemptOutcome.CANCELLED;
            case SimulatorProtocol.OUTCOME_NOT_SENT -> AttemptOutcome.NOT_SENT;
            default -> throw new MalformedInputException("unknown completion code " + code);
        };
    }

    private static Availability availability(String word) {
        return switch (word) {
            case SimulatorProtocol.ENDPOINT_LISTED -> Availability.LISTED;
            case SimulatorProtocol.ENDPOINT_DRAINING -> Availability.DRAINING;
            case SimulatorProtocol.ENDPOINT_REMOVED -> Availability.REMOVED;
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
}
