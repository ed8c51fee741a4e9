package loftflow.deadletter;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointEntry;

/** Creates dead letters from undelivered messages. Tracks the endpoint lists to look up the zones of routes. */
final class DeadLetterFactory {
    private static final String CLIENT_REPLY_FAILED = "failed";
    private static final String REASON_NO_ATTEMPT = "no attempt";
    private static final String REASON_NO_OUTCOME = "no outcome";

    private final Map<String, String> zonesByRoute = new HashMap<>();

    void onEndpointList(List<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            EndpointEntry entry = endpoint.entry();
            if (entry.availability() == Availability.REMOVED) {
                zonesByRoute.remove(entry.route());
            } else {
                zonesByRoute.put(entry.route(), entry.zone());
            }
        }
    }

    /** Returns a dead letter, without an id, for a message whose delivery has ended. */
    DeadLetter create(Message message, long nowMicros, long dueMicros) {
        List<DeadLetter.Attempt> attempts = attemptsOf(message);
        boolean isExecuted = attempts.stream().anyMatch(attempt -> attempt.certainty() == ExecutionCertainty.EXECUTED);
        return new DeadLetter(
                0,
                message.content(),
                nowMicros,
                reason(attempts),
                CLIENT_REPLY_FAILED,
                isExecuted ? DeadLetter.State.DELIVERED : DeadLetter.State.STORED,
                dueMicros,
                null,
                0,
                attempts);
    }

    private static String reason(List<DeadLetter.Attempt> attempts) {
        if (attempts.isEmpty()) {
            return REASON_NO_ATTEMPT;
        }
        AttemptOutcome lastOutcome = attempts.get(attempts.size() - 1).outcome();
        return lastOutcome == null ? REASON_NO_OUTCOME : lastOutcome.code().toLowerCase(Locale.ROOT);
    }

    /** Returns all attempts of a message, with the zones of their routes. */
    List<DeadLetter.Attempt> attemptsOf(Message message) {
        return message.attempts().stream().map(this::attemptOf).toList();
    }

    /** Returns an attempt with the zone of its route; the zone is empty if the route is unknown. */
    DeadLetter.Attempt attemptOf(Message.Attempt attempt) {
        return new DeadLetter.Attempt(
                attempt.route(),
                zonesByRoute.getOrDefault(attempt.route(), ""),
                attempt.sentAtMicros(),
                attempt.outcome());
    }
}
