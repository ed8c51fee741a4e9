package loftflow.upstream.http;

import io.netty.util.concurrent.Future;
import loftflow.policy.api.AttemptOutcome;

/** A probe that travels as a call without messages. It has one outcome. Must be used on the event loop. */
final class PendingProbe {
    private final UpstreamCallOwner owner;
    private final String path;
    private final Future<?> timeout;
    private boolean isCompleted;

    /** Creates a probe without an outcome, whose timeout is running. */
    PendingProbe(UpstreamCallOwner owner, String path, Future<?> timeout) {
        this.owner = owner;
        this.path = path;
        this.timeout = timeout;
    }

    String path() {
        return path;
    }

    boolean isCompleted() {
        return isCompleted;
    }

    /** Reports the outcome; has no effect if it has one. */
    void end(UpstreamCall call, AttemptOutcome outcome, CallResponse response) {
        if (!isCompleted) {
            isCompleted = true;
            timeout.cancel(false);
            owner.onProbeCompleted(call, outcome, response.retryAfterMicros(), response.report());
        }
    }
}
