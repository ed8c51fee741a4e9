package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.MessageClass;

/** Checks that buffers, connections and storage suffice for the declared traffic. */
final class CapacityChecks extends ConsistencyCheck {
    CapacityChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        checkBuffer();
        checkConcurrentCalls();
        checkDescriptors();
        checkJournal();
        checkHeap();
        checkClasses();
    }

    private void checkBuffer() {
        double openMessages = SizingModel.openMessages(declared);
        if (derived.maxOpenMessages() < openMessages) {
            derivedError(
                    "buffer.messages",
                    text(
                            "%d messages are too few: peak-rate times deadline over all classes is %.0f;"
                                    + " raise it or shorten deadlines",
                            derived.maxOpenMessages(), Math.ceil(openMessages)));
        }
    }

    private void checkConcurrentCalls() {
        double calls = SizingModel.concurrentCalls(declared);
        if (derived.maxConcurrentCalls() < calls) {
            derivedError(
                    "calls.slots",
                    text(
                            "%d slots are too few: peak rates times responses keep %.1f calls out; raise it",
                            derived.maxConcurrentCalls(), calls));
        }
        if (derived.maxUpstreamConnections() < derived.maxConcurrentCalls()) {
            derivedError(
                    "calls.connections",
                    derived.maxUpstreamConnections() + " connections are fewer than calls.slots = "
                            + derived.maxConcurrentCalls() + "; raise it");
        }
    }

    private void checkDescriptors() {
        int all = derived.maxUpstreamConnections()
                + derived.maxClientConnections()
                + declared.amqp().queues().size()
                + SizingModel.OTHER_DESCRIPTORS;
        if (all > declared.machine().descriptors()) {
            derivedError(
                    "clients.connections",
                    derived.maxClientConnections() + " clients, " + derived.maxUpstreamConnections()
                            + " connections to partners and " + SizingModel.OTHER_DESCRIPTORS
                            + " descriptors of the process itself"
                            + " are " + all + ", and machine.descriptors = "
                            + declared.machine().descriptors()
                            + "; raise that or lower the connections");
        }
    }

    private void checkJournal() {
        double recordBytes =
                SizingModel.bytesOf(declared, derived.maxOpenMessages(), SizingModel.JOURNAL_BYTES_PER_MESSAGE);
        if (recordBytes > SizingModel.OPEN_JOURNAL_SHARE * derived.journalBytes()) {
            derivedError(
                    "journal.limit",
                    text(
                            "%s is too small for %d open messages: they take %s, and may take %.0f%% of it;"
                                    + " raise it to %s",
                            Units.formatSize(derived.journalBytes()),
                            derived.maxOpenMessages(),
                            SizingModel.kib(recordBytes),
                            SizingModel.OPEN_JOURNAL_SHARE * 100,
                            SizingModel.kib(recordBytes / SizingModel.OPEN_JOURNAL_SHARE)));
        }
    }

    private void checkHeap() {
        double heldBytes = SizingModel.HEAP_BYTES_PER_BODY_BYTE
                * SizingModel.bytesOf(
                        declared,
                        derived.maxOpenMessages(),
                        SizingModel.HEAP_BYTES_PER_MESSAGE / SizingModel.HEAP_BYTES_PER_BODY_BYTE);
        if (heldBytes > SizingModel.OPEN_HEAP_SHARE * derived.heapBytes()) {
            derivedError(
                    "process.heap",
                    text(
                            "%s is too small for %d held messages: they take %s, and may take a quarter of it;"
                                    + " raise it to %s",
                            Units.formatSize(derived.heapBytes()),
                            derived.maxOpenMessages(),
                            SizingModel.kib(heldBytes),
                            SizingModel.kib(heldBytes / SizingModel.OPEN_HEAP_SHARE)));
        }
    }

    private void checkClasses() {
        for (MessageClass messageClass : declared.classes()) {
            if (messageClass.isHedged() && !derived.areHedgedAttemptsEnabled()) {
                derivedError(
                        "calls.second-copies",
                        "false, and class " + messageClass.name() + " asks for second copies; set it to"
                                + " true or the class's to false");
            }
            if (derived.connectTimeoutMicros() >= messageClass.deadlineMicros()) {
                derivedError(
                        "calls.connect-timeout",
                        duration(derived.connectTimeoutMicros()) + " is no shorter than the deadline of" + " class "
                                + messageClass.name() + ", " + duration(messageClass.deadlineMicros()) + "; lower it");
            }
        }
    }
}
