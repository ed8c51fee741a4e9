package loftflow.experiment.loopback;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.scenario.Arrival;
import loftflow.experiment.scenario.Scenario;
import loftflow.policy.api.Idempotency;
import loftflow.protocol.ClientProtocol;
import loftflow.protocol.MessageHeaders;

/**
 * The clients of a fleet: submits each message on a connection without another request in flight, and resubmits
 * rejected messages as the scenario says. To be used on the run's event loop only.
 */
final class LoadGenerator {
    private static final byte[] BODY = "lab".getBytes(StandardCharsets.US_ASCII);
    private static final double MICROS_PER_SECOND = 1e6;

    private final RunContext context;
    private final Scenario scenario;
    /** Connections to each relay; null while it accepts no messages. */
    private final LoopbackHttp.ConnectionPool[] connectionsByRelay;

    private int unsettled;

    LoadGenerator(RunContext context) {
        this.context = context;
        scenario = context.scenario();
        connectionsByRelay = new LoopbackHttp.ConnectionPool[scenario.fleet().relays()];
    }

    /** Sets the address at which a relay accepts messages from now on; null while it accepts none. */
    void setRelayAddress(int relay, InetSocketAddress address) {
        connectionsByRelay[relay] = address == null ? null : new LoopbackHttp.ConnectionPool(context.loop(), address);
    }

    /** Submits a message that is due. Its times count from then on, however late it is sent. */
    void submit(Arrival arrival) {
        Scenario.MessageClass messageClass = scenario.classes().get(arrival.classIndex());
        MessageHistory message = new MessageHistory(
                arrival.classIndex(),
                arrival.tenant(),
                arrival.partner(),
                arrival.relay(),
                arrival.atMicros(),
                arrival.atMicros() + messageClass.deadlineMicros());
        context.history().addMessage(message);
        send(context.history().messages().size() - 1, message);
    }

    /** Number of submissions that wait for a response or are scheduled. */
    int unsettled() {
        return unsettled;
    }

    private void send(int number, MessageHistory message) {
        unsettled++;
        message.recordSubmission(message.submissions() == 0 ? message.submittedAtMicros() : context.nowMicros());
        String id = number + "-" + message.submissions();
        context.registerId(id, number);
        LoopbackHttp.ConnectionPool connections = connectionsByRelay[message.relay()];
        if (connections == null) {
            onRejected(number, message, 0);
            return;
        }
        connections.send(request(id, number, message), new Submission(number, message));
    }

    /** The time that a message has left when it is sent, which may be later than it was due. */
    private long remainingMillis(MessageHistory message) {
        return Math.max(1, TimeUnit.MICROSECONDS.toMillis(message.deadlineMicros() - context.nowMicros()));
    }

    private FullHttpRequest request(String id, int number, MessageHistory message) {
        Scenario.MessageClass messageClass = scenario.classes().get(message.classIndex());
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api", Unpooled.wrappedBuffer(BODY));
        request.headers()
                .set(HttpHeaderNames.HOST, "relay")
                .set(MessageHeaders.MESSAGE_ID, id)
                .set(MessageHeaders.REQUEST_CLASS, messageClass.name())
                .set(MessageHeaders.TIMEOUT_MILLIS, remainingMillis(message))
                .set(MessageHeaders.DESTINATION, ClientProtocol.DESTINATION_FIELD + message.partner())
                .set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        if (message.tenant() >= 0) {
            request.headers()
                    .set(
                            MessageHeaders.TENANT,
                            scenario.tenants().get(message.tenant()).name());
        }
        if (messageClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY) {
            request.headers().set(MessageHeaders.IDEMPOTENCY_KEY, "k" + number);
        }
        return request;
    }

    private void onRejected(int number, MessageHistory message, long retryAfterMicros) {
        unsettled--;
        message.recordCompletion(context.nowMicros(), MessageHistory.ClientOutcome.REJECTED);
        scheduleResubmission(number, message, retryAfterMicros);
    }

    private void scheduleResubmission(int number, MessageHistory message, long retryAfterMicros) {
        if (message.submissions() <= scenario.clients().maxResubmissions()) {
            unsettled++;
            long delayMicros = Math.max(scenario.clients().resubmitDelayMicros(), retryAfterMicros);
            context.loop()
                    .schedule(
                            () -> {
                                unsettled--;
                                send(number, message);
                            },
                            delayMicros,
                            TimeUnit.MICROSECONDS);
        }
    }

    /** Processes a completion notice; repeated notices, and those of earlier submissions, have no effect. */
    void onCompletion(String id, boolean rejected, long retryAfterMicros) {
        MessageHistory message = context.message(id);
        if (message == null || !id.endsWith("-" + message.submissions()) || isCompleted(message)) {
            return;
        }
        message.recordCompletion(
                context.nowMicros(),
                rejected ? MessageHistory.ClientOutcome.REJECTED : MessageHistory.ClientOutcome.FAILED);
        if (rejected) {
            int number = Integer.parseInt(id.substring(0, id.indexOf('-')));
            scheduleResubmission(number, message, retryAfterMicros);
        }
    }

    private static boolean isCompleted(MessageHistory message) {
        return message.clientOutcome() == MessageHistory.ClientOutcome.REJECTED
                || message.clientOutcome() == MessageHistory.ClientOutcome.FAILED;
    }

    /** Records the response to one submission of a message. */
    private final class Submission implements LoopbackHttp.ResponseListener {
        private final int number;
        private final MessageHistory message;

        Submission(int number, MessageHistory message) {
            this.number = number;
            this.message = message;
        }

        @Override
        public void onResponse(FullHttpResponse response) {
            int status = response.status().code();
            if (status == HttpResponseStatus.ACCEPTED.code()) {
                unsettled--;
                message.recordAccepted();
            } else if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
                String retryAfterSeconds = response.headers().get(HttpHeaderNames.RETRY_AFTER, "0");
                onRejected(number, message, (long) (Double.parseDouble(retryAfterSeconds) * MICROS_PER_SECOND));
            } else {
                unsettled--;
                message.recordCompletion(context.nowMicros(), MessageHistory.ClientOutcome.FAILED);
            }
        }

        @Override
        public void onConnectFailed() {
            onRejected(number, message, 0);
        }

        @Override
        public void onConnectionLost() {
            unsettled--;
            message.recordConnectionLost();
            if (scenario.classes().get(message.classIndex()).idempotency() == Idempotency.IDEMPOTENT) {
                scheduleResubmission(number, message, 0);
            }
        }
    }
}
