package loftflow.experiment.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import loftflow.engine.Endpoint;
import loftflow.engine.Message;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.AttemptOutcome;
import loftflow.policy.api.LimitReport;

/** Carries calls, probes and responses between relays and endpoints, and completions to clients. */
final class EmulatedNetwork implements EmulatedRelay.Environment {
    /** A probe without a response ends as timed out after this long. */
    private static final long PROBE_TIMEOUT_MICROS = 1_000_000;

    private final Scenario scenario;
    private final Scenario.Layout layout;
    private final VirtualTime time;
    private final RunHistory history;
    private final EmulatedClients clients;
    private final Supplier<List<Endpoint>> endpointList;
    private final Map<String, EmulatedEndpoint> endpointByRoute = new HashMap<>();
    private final IdempotencyKeys keys = new IdempotencyKeys();

    /**
     * Creates the network.
     *
     * @param endpointList the endpoints that discovery lists now
     */
    EmulatedNetwork(
            Scenario scenario,
            Scenario.Layout layout,
            VirtualTime time,
            RunHistory history,
            EmulatedClients clients,
            List<EmulatedEndpoint> endpoints,
            Supplier<List<Endpoint>> endpointList) {
        this.scenario = scenario;
        this.layout = layout;
        this.time = time;
        this.history = history;
        this.clients = clients;
        this.endpointList = endpointList;
        endpoints.forEach(endpoint -> endpointByRoute.put(endpoint.endpoint().route(), endpoint));
    }

    @Override
    public List<Endpoint> endpointList(int relay) {
        history.callCounts().count(CallCounts.Metric.ENDPOINT_LISTS, relay, CallCounts.NONE);
        return List.copyOf(endpointList.get());
    }

    @Override
    public void onCompletion(Message message) {
        int number = clients.numberOf(message.content().messageId());
        MessageHistory submitted = history.messages().get(number);
        switch (message.completion().kind()) {
            case REJECTED -> clients.onRejected(
                    number, submitted, message.completion().retryAfterMicros());
            case FAILED -> submitted.recordCompletion(time.micros(), MessageHistory.ClientOutcome.FAILED);
            case DELIVERED -> {}
        }
    }

    @Override
    public void sendCalls(EmulatedRelay.Process from, String route, List<Message.Attempt> attempts) {
        EmulatedEndpoint endpoint = endpointByRoute.get(route);
        int batchSize = endpoint.group().maxBatchSize();
        for (int i = 0; i < attempts.size(); i += batchSize) {
            sendBatch(from, endpoint, attempts.subList(i, Math.min(attempts.size(), i + batchSize)));
        }
    }

    private void sendBatch(EmulatedRelay.Process from, EmulatedEndpoint endpoint, List<Message.Attempt> attempts) {
        long latencyMicros = latencyMicros(from, endpoint);
        long sentAtMicros = time.micros();
        time.schedule(latencyMicros, () -> {
            EmulatedEndpoint.CallResult result = endpoint.receiveCall(from.relay(), time.micros());
            for (Message.Attempt attempt : attempts) {
                recordArrival(from.relay(), endpoint, attempt, result, sentAtMicros);
            }
            if (result.respondAtMicros() >= 0) {
                time.scheduleAt(
                        result.respondAtMicros() + latencyMicros,
                        () -> deliverResponse(from, endpoint, attempts, result));
            }
        });
    }

    private long latencyMicros(EmulatedRelay.Process from, EmulatedEndpoint endpoint) {
        return scenario.oneWayLatencyMicros(from.relay(), endpoint.endpoint(), layout);
    }

    private void recordArrival(
            int relay,
            EmulatedEndpoint endpoint,
            Message.Attempt attempt,
            EmulatedEndpoint.CallResult result,
            long sentAtMicros) {
        int number = clients.numberOf(attempt.message().content().messageId());
        MessageHistory message = history.messages().get(number);
        boolean executed = result.executed() && takesEffect(number, message, endpoint);
        message.recordCall(new MessageHistory.Call(
                relay, endpoint.endpoint().number(), sentAtMicros, time.micros(), executed, result.response()));
        if (result.response() == MessageHistory.Response.DELIVERED) {
            time.scheduleAt(result.respondAtMicros(), () -> message.recordDelivery(time.micros()));
        }
    }

    private boolean takesEffect(int number, MessageHistory message, EmulatedEndpoint endpoint) {
        Scenario.MessageClass messageClass = scenario.classes().get(message.classIndex());
        return keys.takesEffect(number, message.partner(), messageClass, endpoint.endpoint(), time.micros());
    }

    private void deliverResponse(
            EmulatedRelay.Process to,
            EmulatedEndpoint endpoint,
            List<Message.Attempt> attempts,
            EmulatedEndpoint.CallResult result) {
        long retryAfterMicros = endpoint.retryAfterMicros(result);
        if (retryAfterMicros > 0) {
            history.addRetryAfter(new RunHistory.RetryAfter(
                    to.relay(), endpoint.endpoint().number(), time.micros(), time.micros() + retryAfterMicros));
        }
        LimitReport report = endpoint.group().reportsLimit()
                ? new LimitReport(
                        endpoint.limit().remainingShare(), endpoint.limit().ratePerSecond())
                : LimitReport.NONE;
        AttemptOutcome outcome = outcome(result.response());
        attempts.forEach(attempt -> to.completeAttempt(attempt, outcome, retryAfterMicros, report));
    }

    @Override
    public void onAbandoned(EmulatedRelay.Process from, String route) {
        endpointByRoute.get(route).onAbandonedBy(from.relay());
    }

    @Override
    public void sendProbe(EmulatedRelay.Process from, String route) {
        EmulatedEndpoint endpoint = endpointByRoute.get(route);
        long latencyMicros = latencyMicros(from, endpoint);
        long sentAtMicros = time.micros();
        time.schedule(latencyMicros, () -> {
            EmulatedEndpoint.CallResult result = endpoint.receiveProbe(from.relay(), time.micros());
            boolean isTimeout = result.respondAtMicros() < 0;
            long endsAtMicros =
                    isTimeout ? sentAtMicros + PROBE_TIMEOUT_MICROS : result.respondAtMicros() + latencyMicros;
            AttemptOutcome outcome = isTimeout ? AttemptOutcome.TIMEOUT : outcome(result.response());
            time.scheduleAt(endsAtMicros, () -> {
                if (isTimeout) {
                    onAbandoned(from, route);
                }
                from.completeProbe(
                        route,
                        outcome,
                        endpoint.retryAfterMicros(result),
                        time.micros() - sentAtMicros,
                        LimitReport.NONE);
            });
        });
    }

    private static AttemptOutcome outcome(MessageHistory.Response response) {
        return switch (response) {
            case DELIVERED -> AttemptOutcome.OK;
            case ERROR -> AttemptOutcome.ERROR;
            case REJECTED -> AttemptOutcome.REJECTED;
            case CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
            case NO_RESPONSE -> AttemptOutcome.RESET;
        };
    }
}
