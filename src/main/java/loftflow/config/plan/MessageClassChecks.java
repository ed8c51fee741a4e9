package loftflow.config.plan;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.MessageClass;
import loftflow.config.plan.Declaration.Partner;
import loftflow.config.plan.Declaration.Repeat;

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
        if (messageClass.wanted() >= messageClass.deadline()) {
            error(
                    messageClass.at(),
                    "wanted",
                    duration(messageClass.wanted()) + " is no shorter than deadline = "
                            + duration(messageClass.deadline()) + "; make it shorter");
        }
        if (messageClass.meanRate() > messageClass.peakRate()) {
            error(
                    messageClass.at(),
                    "mean-rate",
                    Units.ofRate(messageClass.meanRate()) + " is above peak-rate = "
                            + Units.ofRate(messageClass.peakRate()) + "; raise the peak");
        }
        if (messageClass.peakRate() <= 0) {
            error(
                    messageClass.at(),
                    "peak-rate",
                    "0/s means that no message comes; leave the class out or give its rate");
        }
        if (messageClass.body() > messageClass.largestBody()) {
            error(
                    messageClass.at(),
                    "body",
                    Units.ofSize(messageClass.body()) + " is larger than largest-body = "
                            + Units.ofSize(messageClass.largestBody()) + "; raise that");
        }
    }

    private void checkIdempotencyKey(MessageClass messageClass) {
        boolean keyed = messageClass.repeat() == Repeat.BY_KEY;
        if (keyed && messageClass.keyWindow() == 0) {
            error(
                    messageClass.at(),
                    "key-window",
                    "is missing: repeat = by-key needs how long a partner drops a repeated key");
        }
        if (!keyed && messageClass.at().has("key-window")) {
            error(
                    messageClass.at(),
                    "key-window",
                    "means nothing with repeat = " + messageClass.at().text("repeat") + "; leave it out or say by-key");
        }
        if (!keyed && messageClass.keysByBuilding()) {
            error(
                    messageClass.at(),
                    "key-scope",
                    "means nothing with repeat = " + messageClass.at().text("repeat") + "; leave it out or say by-key");
        }
    }

    private void checkSecondCopies(MessageClass messageClass) {
        if (messageClass.repeat() == Repeat.ONCE && messageClass.secondCopies()) {
            error(
                    messageClass.at(),
                    "second-copies",
                    "repeat = once forbids them: the copy could take effect too; leave them" + " out");
        }
        if (messageClass.inOrder() && messageClass.secondCopies()) {
            error(
                    messageClass.at(),
                    "second-copies",
                    "in-order = true forbids them: messages of a key go out one at a time");
        }
    }

    private void checkKeyScope(MessageClass messageClass) {
        if (messageClass.repeat() != Repeat.BY_KEY || !messageClass.keysByBuilding()) {
            return;
        }
        for (Partner partner : declared.partnersOf(messageClass)) {
            Set<String> buildings = partner.endpoints().stream()
                    .map(Declaration.Endpoint::building)
                    .collect(Collectors.toCollection(LinkedHashSet::new));
            if (buildings.size() > 1) {
                warn(
                        messageClass.at(),
                        "key-scope",
                        "partner " + partner.name() + " stands in " + buildings.size()
                                + " buildings (" + String.join(", ", buildings)
                                + ") and keys are known in one alone: a"
                                + " message that may have run is not sent again in another");
            }
        }
    }

    private void checkOrder(MessageClass messageClass) {
        if (!messageClass.inOrder()) {
            return;
        }
        for (Declaration.Kind kind : declared.kinds()) {
            if (kind.batch() > 1
                    && (messageClass.to() == null || messageClass.to().contains(kind.name()))) {
                error(
                        messageClass.at(),
                        "in-order",
                        "kind " + kind.name() + " takes batch = " + kind.batch()
                                + " messages in a call, which keep no order; set its batch to 1 or in-order to false");
            }
        }
    }

    private void checkKinds(MessageClass messageClass) {
        if (messageClass.to() == null) {
            return;
        }
        if (messageClass.to().isEmpty()) {
            error(messageClass.at(), "to", "is empty: the class could go nowhere; leave it out for all kinds");
        }
        List<String> known = declared.kindNames();
        for (String kind : messageClass.to()) {
            if (!known.contains(kind) && declared.discovery().agent() == null) {
                error(
                        messageClass.at(),
                        "to",
                        "no partner is of kind " + kind + "; there are " + String.join(", ", known));
            }
        }
    }

    /** The time for a first response, and for a second attempt where the class allows one. */
    private long requiredMicros(MessageClass messageClass, Partner partner) {
        long once = derived.connectTimeout() + partner.response();
        return messageClass.repeat() == Repeat.ONCE ? once : 2 * once;
    }

    private void checkDeadline(MessageClass messageClass) {
        List<Partner> partners = declared.partnersOf(messageClass);
        String tries = messageClass.repeat() == Repeat.ONCE ? "one try" : "a try and one more";
        List<Partner> slow = partners.stream()
                .filter(p -> requiredMicros(messageClass, p) > messageClass.deadline())
                .toList();
        if (!slow.isEmpty()) {
            Partner quickest = slow.stream()
                    .min(Comparator.comparingLong(p -> requiredMicros(messageClass, p)))
                    .orElseThrow();
            long need = requiredMicros(messageClass, quickest);
            if (slow.size() == partners.size()) {
                error(
                        messageClass.at(),
                        "deadline",
                        duration(messageClass.deadline()) + " is shorter than any partner can answer in: even "
                                + quickest.name() + " needs " + duration(need) + " (connecting "
                                + duration(derived.connectTimeout())
                                + ", response " + duration(quickest.response()) + ", " + tries + "); raise it to "
                                + duration(need));
            } else {
                warn(
                        messageClass.at(),
                        "deadline",
                        duration(messageClass.deadline()) + " is too short for " + slow.size() + " of "
                                + partners.size() + " partners ("
                                + slow.stream().map(Partner::name).collect(Collectors.joining(", ")) + "): "
                                + quickest.name() + " needs " + duration(need) + " for " + tries);
            }
        }
    }

    private void checkKeyWindow(MessageClass messageClass) {
        if (messageClass.repeat() == Repeat.BY_KEY && messageClass.keyWindow() > 0) {
            long quickest = declared.partnersOf(messageClass).stream()
                    .mapToLong(p -> requiredMicros(messageClass, p))
                    .min()
                    .orElse(0);
            if (messageClass.keyWindow() < quickest) {
                error(
                        messageClass.at(),
                        "key-window",
                        duration(messageClass.keyWindow()) + " is shorter than the span of one retry, "
                                + duration(quickest) + ": none could ever be made; raise it or say repeat = once");
            }
        }
    }
}
