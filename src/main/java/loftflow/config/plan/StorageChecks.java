package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.Destination;
import loftflow.config.plan.Declaration.MessageClass;

/** Checks the dead-letter store and the endpoint snapshots against disk and deadlines. */
final class StorageChecks extends ConsistencyCheck {
    StorageChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        checkDeadLetters();
        checkWarmStart();
    }

    private void checkDeadLetters() {
        Declaration.DeadLetters kept = declared.deadLetters();
        if (!kept.isEnabled()) {
            return;
        }
        for (MessageClass messageClass : declared.classes()) {
            if (messageClass.redriveWindowMicros() < messageClass.deadlineMicros()) {
                error(
                        messageClass.table(),
                        "shelf-life",
                        duration(messageClass.redriveWindowMicros()) + " is shorter than deadline = "
                                + duration(messageClass.deadlineMicros())
                                + ": a message would be too old as soon as it is kept; raise it");
            }
        }
        if (kept.resumeShare() >= kept.fullShare()) {
            error(
                    kept.table(),
                    "low",
                    kept.resumeShare() + " is no lower than undeliverable.high = " + kept.fullShare()
                            + ": the store would be full and not full at once; lower it");
        }
        if (kept.limitBytes() + derived.journalBytes() > declared.machine().diskBytes()) {
            error(
                    kept.table(),
                    "limit",
                    Units.formatSize(kept.limitBytes()) + " and the journal's "
                            + Units.formatSize(derived.journalBytes())
                            + " share a folder with machine.disk = "
                            + Units.formatSize(declared.machine().diskBytes())
                            + "; lower one or raise that");
        }
        for (Destination partner : declared.destinations()) {
            if (partner.limitPerSecond() > 0 && kept.redrivesPerSecond() > partner.limitPerSecond()) {
                error(
                        kept.table(),
                        "pace",
                        Units.formatRate(kept.redrivesPerSecond()) + " is above the limit of partner " + partner.name()
                                + ", " + Units.formatRate(partner.limitPerSecond()) + "; lower it");
            }
        }
    }

    private void checkWarmStart() {
        Declaration.WarmStart memory = declared.warmStart();
        if (!memory.isEnabled()) {
            return;
        }
        long kept = declared.deadLetters().reservedBytes();
        if (memory.limitBytes() + kept + derived.journalBytes()
                > declared.machine().diskBytes()) {
            error(
                    memory.table(),
                    "limit",
                    Units.formatSize(memory.limitBytes()) + " and " + Units.formatSize(derived.journalBytes() + kept)
                            + " for the journal and what is kept share a folder with machine.disk = "
                            + Units.formatSize(declared.machine().diskBytes()) + "; lower one or raise that");
        }
        long snapshotBytes = declared.endpoints().size() * SizingModel.SNAPSHOT_BYTES_PER_ENDPOINT;
        if (snapshotBytes > memory.limitBytes() * SizingModel.SNAPSHOT_SHARE) {
            error(
                    memory.table(),
                    "limit",
                    text(
                            "%d endpoints take some %s, and one picture may take three tenths of %s;" + " raise it",
                            declared.endpoints().size(),
                            SizingModel.kib(snapshotBytes),
                            Units.formatSize(memory.limitBytes())));
        }
        if (declared.discovery().agentAddress() != null
                && memory.listConfirmationMicros() >= memory.trustHalfLifeMicros()) {
            error(
                    memory.table(),
                    "settle",
                    duration(memory.listConfirmationMicros()) + " is no shorter than memory.half-life = "
                            + duration(memory.trustHalfLifeMicros())
                            + ": what discovery leaves out would be too old to be believed before it is"
                            + " gone; lower it");
        }
    }
}
