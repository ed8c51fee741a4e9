package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.Comparator;
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
        declared.fronts().stream()
                .filter(front -> !front.isHttp2())
                .forEach(front -> rejectForeignSettings(front, LISTENER_SETTINGS, "HTTP/2", "http2"));
        for (Declaration.Front front : declared.http2()) {
            checkListener(front, front.http2());
            checkTimes(front, front.http2());
        }
        if (!declared.http2().isEmpty()) {
            checkStreams();
            checkBuffer();
        }
    }

    private void checkListener(Declaration.Front front, Declaration.Http2 http2) {
        if (http2.streams() > derived.streams()) {
            error(
                    front.at(),
                    "streams",
                    http2.streams() + " for one connection are more than clients.streams = " + derived.streams()
                            + " for all; lower it");
        }
        if (http2.streams() > derived.messages()) {
            error(
                    front.at(),
                    "streams",
                    http2.streams() + " of one connection would be more than buffer.messages = " + derived.messages()
                            + ": it alone could fill the relay; lower it");
        }
        if (http2.window() > derived.buffer()) {
            error(
                    front.at(),
                    "window",
                    Units.ofSize(http2.window()) + " of one connection is more than clients.buffer = "
                            + Units.ofSize(derived.buffer()) + " for all; lower it");
        }
    }

    private void checkTimes(Declaration.Front front, Declaration.Http2 http2) {
        if (http2.age() > 0 && http2.age() <= http2.drain()) {
            error(
                    front.at(),
                    "age",
                    duration(http2.age()) + " is no longer than drain = " + duration(http2.drain())
                            + ": a connection would go as soon as it has come; raise it or set 0s for any age");
        }
        if (http2.drain() >= declared.machine().stopTime()) {
            error(
                    front.at(),
                    "drain",
                    duration(http2.drain()) + " is no shorter than machine.stop-time = "
                            + duration(declared.machine().stopTime())
                            + ": the process would be ended before its streams are; lower it");
        }
        declared.classes().stream()
                .min(Comparator.comparingLong(MessageClass::deadline))
                .ifPresent(messageClass -> {
                    if (http2.stall() > messageClass.deadline()) {
                        warn(
                                front.at(),
                                "stall",
                                duration(http2.stall()) + " is longer than the deadline of class " + messageClass.name()
                                        + ", "
                                        + duration(messageClass.deadline())
                                        + ": programs would hear of refusals when there is no time left");
                    }
                });
    }

    private void checkStreams() {
        double streams = (double) derived.streams()
                * SizingModel.HEAP_BYTES_PER_STREAM
                * declared.http2().size();
        if (streams > SizingModel.STREAM_HEAP_SHARE * derived.heap()) {
            derivedError(
                    "clients.streams",
                    text(
                            "%d streams at each of %d HTTP/2 fronts take some %s, and may take a fifth of"
                                    + " process.heap = %s; lower it",
                            derived.streams(),
                            declared.http2().size(),
                            SizingModel.kib(streams),
                            Units.ofSize(derived.heap())));
        }
    }

    private void checkBuffer() {
        double buffers = (double) derived.buffer() * declared.http2().size();
        if (buffers > SizingModel.STREAM_HEAP_SHARE * derived.heap()) {
            derivedError(
                    "clients.buffer",
                    text(
                            "%s at each of %d HTTP/2 fronts may take a fifth of process.heap = %s; lower it",
                            Units.ofSize(derived.buffer()), declared.http2().size(), Units.ofSize(derived.heap())));
        }
        long largest = declared.classes().stream()
                .mapToLong(MessageClass::largestBody)
                .max()
                .orElse(0);
        if (largest > derived.buffer()) {
            derivedError(
                    "clients.buffer",
                    Units.ofSize(derived.buffer()) + " holds no body of " + Units.ofSize(largest) + "; raise it");
        }
    }
}
