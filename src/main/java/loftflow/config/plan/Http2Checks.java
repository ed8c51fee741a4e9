package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.MessageClass;

/** Checks the limits of HTTP/2 listeners. */
final class Http2Checks extends ConsistencyCheck {
    private static final List<String> LISTENER_SETTINGS =
            List.of("streams", "header-list", "window", "idle", "age", "stall", "resets", "drain");

    Http2Checks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        declared.listeners().stream()
                .filter(front -> !front.isHttp2())
                .forEach(front -> rejectForeignSettings(front, LISTENER_SETTINGS, "HTTP/2", "http2"));
        for (Declaration.Listener front : declared.http2()) {
            checkListener(front, front.http2());
            checkTimes(front, front.http2());
        }
        if (!declared.http2().isEmpty()) {
            checkStreams();
            checkBuffer();
        }
    }

    private void checkListener(Declaration.Listener front, Declaration.Http2 http2) {
        if (http2.maxStreams() > derived.maxHttp2Streams()) {
            error(
                    front.table(),
                    "streams",
                    http2.maxStreams() + " for one connection are more than clients.streams = "
                            + derived.maxHttp2Streams() + " for all; lower it");
        }
        if (http2.maxStreams() > derived.maxOpenMessages()) {
            error(
                    front.table(),
                    "streams",
                    http2.maxStreams() + " of one connection would be more than buffer.messages = "
                            + derived.maxOpenMessages() + ": it alone could fill the relay; lower it");
        }
        if (http2.windowBytes() > derived.http2BodyBufferBytes()) {
            error(
                    front.table(),
                    "window",
                    Units.formatSize(http2.windowBytes()) + " of one connection is more than clients.buffer = "
                            + Units.formatSize(derived.http2BodyBufferBytes()) + " for all; lower it");
        }
    }

    private void checkTimes(Declaration.Listener front, Declaration.Http2 http2) {
        if (http2.maxAgeMicros() > 0 && http2.maxAgeMicros() <= http2.drainMicros()) {
            error(
                    front.table(),
                    "age",
                    duration(http2.maxAgeMicros()) + " is no longer than drain = " + duration(http2.drainMicros())
                            + ": a connection would go as soon as it has come; raise it or set 0s for any age");
        }
        if (http2.drainMicros() >= declared.machine().stopTimeMicros()) {
            error(
                    front.table(),
                    "drain",
                    duration(http2.drainMicros()) + " is no shorter than machine.stop-time = "
                            + duration(declared.machine().stopTimeMicros())
                            + ": the process would be ended before its streams are; lower it");
        }
        declared.shortestDeadlineClass().ifPresent(messageClass -> {
            if (http2.stallTimeoutMicros() > messageClass.deadlineMicros()) {
                warn(
                        front.table(),
                        "stall",
                        duration(http2.stallTimeoutMicros()) + " is longer than the deadline of class "
                                + messageClass.name()
                                + ", "
                                + duration(messageClass.deadlineMicros())
                                + ": programs would hear of refusals when there is no time left");
            }
        });
    }

    private void checkStreams() {
        double streams = (double) derived.maxHttp2Streams()
                * SizingModel.HEAP_BYTES_PER_STREAM
                * declared.http2().size();
        if (streams > SizingModel.STREAM_HEAP_SHARE * derived.heapBytes()) {
            derivedError(
                    "clients.streams",
                    text(
                            "%d streams at each of %d HTTP/2 fronts take some %s, and may take a fifth of"
                                    + " process.heap = %s; lower it",
                            derived.maxHttp2Streams(),
                            declared.http2().size(),
                            SizingModel.kib(streams),
                            Units.formatSize(derived.heapBytes())));
        }
    }

    private void checkBuffer() {
        double buffers =
                (double) derived.http2BodyBufferBytes() * declared.http2().size();
        if (buffers > SizingModel.STREAM_HEAP_SHARE * derived.heapBytes()) {
            derivedError(
                    "clients.buffer",
                    text(
                            "%s at each of %d HTTP/2 fronts may take a fifth of process.heap = %s; lower it",
                            Units.formatSize(derived.http2BodyBufferBytes()),
                            declared.http2().size(),
                            Units.formatSize(derived.heapBytes())));
        }
        long largest = declared.classes().stream()
                .mapToLong(MessageClass::maxBodyBytes)
                .max()
                .orElse(0);
        if (largest > derived.http2BodyBufferBytes()) {
            derivedError(
                    "clients.buffer",
                    Units.formatSize(derived.http2BodyBufferBytes()) + " holds no body of " + Units.formatSize(largest)
                            + "; raise it");
        }
    }
}
