package loftflow.config.plan;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.Destination;
import loftflow.config.plan.Declaration.Idempotency;
import loftflow.config.plan.Declaration.MessageClass;

/** Checks each message class by itself and against the partners that it goes to. */
final class MessageClassChecks extends ConsistencyCheck {
    MessageClassChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        for (MessageClass messageClass : declared.classes()) {
            checkFigures(messageClass);
            checkIdempotencyKey(messageClass);
            checkSecondCopies(messageClass);
            checkKeyScope(messageClass);
            checkOrder(messageClass);
            checkKinds(messageClass);
            checkDeadline(messageClass);
            checkKeyWindow(messageClass);
        }
    }

    private void checkFigures(MessageClass messageClass) {
        if (messageClass.latencyObjectiveMicros() >= messageClass.deadlineMicros()) {
            error(
                    messageClass.table(),
                    "wanted",
                    duration(messageClass.latencyObjectiveMicros()) + " is no shorter than deadline = "
                            + duration(messageClass.deadlineMicros()) + "; make it shorter");
        }
        if (messageClass.meanRatePerSecond() > messageClass.peakRatePerSecond()) {
            error(
                    messageClass.table(),
                    "mean-rate",
                    Units.formatRate(messageClass.meanRatePerSecond()) + " is above peak-rate = "
                            + Units.formatRate(messageClass.peakRatePerSecond()) + "; raise the peak");
        }
        if (messageClass.peakRatePerSecond() <= 0) {
            error(
                    messageClass.table(),
                    "peak-rate",
                    "0/s means that no message comes; leave the class out or give its rate");
        }
        if (messageClass.bodyBytes() > messageClass.maxBodyBytes()) {
            error(
                    messageClass.table(),
                    "body",
                    Units.formatSize(messageClass.bodyBytes()) + " is larger than largest-body = "
                            + Units.formatSize(messageClass.maxBodyBytes()) + "; raise that");
        }
    }

    private void checkIdempotencyKey(MessageClass messageClass) {
        boolean keyed = messageClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY;
        if (keyed && messageClass.keyWindowMicros() == 0) {
            error(
                    messageClass.table(),
                    "key-window",
                    "is missing: repeat = by-key needs how long a partner drops a repeated key");
        }
        if (!keyed && messageClass.table().has("key-window")) {
            error(
                    messageClass.table(),
                    "key-window",
                    "means nothing with repeat = " + messageClass.table().text("repeat")
                            + "; leave it out or say by-key");
        }
        if (!keyed && messageClass.isKeyScopedToZone()) {
            error(
                    messageClass.table(),
                    "key-scope",
                    "means nothing with repeat = " + messageClass.table().text("repeat")
                            + "; leave it out or say by-key");
        }
    }

    private void checkSecondCopies(MessageClass messageClass) {
        if (messageClass.idempotency() == Idempotency.NON_IDEMPOTENT && messageClass.isHedged()) {
            error(
                    messageClass.table(),
                    "second-copies",
                    "repeat = once forbids them: the copy could take effect too; leave them" + " out");
        }
        if (messageClass.isOrdered() && messageClass.isHedged()) {
            error(
                    messageClass.table(),
                    "second-copies",
                    "in-order = true forbids them: messages of a key go out one at a time");
        }
    }

    private void checkKeyScope(MessageClass messageClass) {
        if (messageClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY || !messageClass.isKeyScopedToZone()) {
            return;
        }
        for (Destination partner : declared.partnersOf(messageClass)) {
            Set<String> buildings = partner.endpoints().stream()
                    .map(Declaration.Endpoint::zone)
                    .collect(Collectors.toCollection(LinkedHashSet::new));
            if (buildings.size() > 1) {
                warn(
                        messageClass.table(),
                        "key-scope",
                        "partner " + partner.name() + " stands in " + buildings.size()
                                + " buildings (" + String.join(", ", buildings)
                                + ") and keys are known in one alone: a"
                                + " message that may have run is not sent again in another");
            }
        }
    }

    private void checkOrder(MessageClass messageClass) {
        if (!messageClass.isOrdered()) {
            return;
        }
        for (Declaration.DestinationKind kind : declared.kinds()) {
            if (kind.maxBatchSize() > 1 && messageClass.goesTo(kind.name())) {
                error(
                        messageClass.table(),
                        "in-order",
                        "kind " + kind.name() + " takes batch = " + kind.maxBatchSize()
                                + " messages in a call, which keep no order; set its batch to 1 or in-order to false");
            }
        }
    }

    private void checkKinds(MessageClass messageClass) {
        if (messageClass.destinationKinds() == null) {
            return;
        }
        if (messageClass.destinationKinds().isEmpty()) {
            error(messageClass.table(), "to", "is empty: the class could go nowhere; leave it out for all kinds");
        }
        List<String> known = declared.kindNames();
        for (String kind : messageClass.destinationKinds()) {
            if (!known.contains(kind) && declared.discovery().agentAddress() == null) {
                error(
                        messageClass.table(),
                        "to",
                        "no partner is of kind " + kind + "; there are " + String.join(", ", known));
            }
        }
    }

    /** The time for a first response, and for a second attempt where the class allows one. */
    private long requiredMicros(MessageClass messageClass, Destination partner) {
        long once = derived.connectTimeoutMicros() + partner.responseTimeMicros();
        return messageClass.idempotency() == Idempotency.NON_IDEMPOTENT ? once : 2 * once;
    }

    private void checkDeadline(MessageClass messageClass) {
        List<Destination> partners = declared.partnersOf(messageClass);
        String tries = messageClass.idempotency() == Idempotency.NON_IDEMPOTENT ? "one try" : "a try and one more";
        List<Destination> slow = partners.stream()
                .filter(p -> requiredMicros(messageClass, p) > messageClass.deadlineMicros())
                .toList();
        if (!slow.isEmpty()) {
            Destination quickest = slow.stream()
                    .min(Comparator.comparingLong(p -> requiredMicros(messageClass, p)))
                    .orElseThrow();
            long need = requiredMicros(messageClass, quickest);
            if (slow.size() == partners.size()) {
                error(
                        messageClass.table(),
                        "deadline",
                        duration(messageClass.deadlineMicros()) + " is shorter than any partner can answer in: even "
                                + quickest.name() + " needs " + duration(need) + " (connecting "
                                + duration(derived.connectTimeoutMicros())
                                + ", response " + duration(quickest.responseTimeMicros()) + ", " + tries
                                + "); raise it to "
                                + duration(need));
            } else {
                warn(
                        messageClass.table(),
                        "deadline",
                        duration(messageClass.deadlineMicros()) + " is too short for " + slow.size() + " of "
                                + partners.size() + " partners ("
                                + slow.stream().map(Destination::name).collect(Collectors.joining(", ")) + "): "
                                + quickest.name() + " needs " + duration(need) + " for " + tries);
            }
        }
    }

    private void checkKeyWindow(MessageClass messageClass) {
        if (messageClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY && messageClass.keyWindowMicros() > 0) {
            long quickest = declared.partnersOf(messageClass).stream()
                    .mapToLong(p -> requiredMicros(messageClass, p))
                    .min()
                    .orElse(0);
            if (messageClass.keyWindowMicros() < quickest) {
                error(
                        messageClass.table(),
                        "key-window",
                        duration(messageClass.keyWindowMicros()) + " is shorter than the span of one retry, "
                                + duration(quickest) + ": none could ever be made; raise it or say repeat = once");
            }
        }
    }
}
