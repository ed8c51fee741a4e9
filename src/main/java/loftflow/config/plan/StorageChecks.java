package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;
import loftflow.config.plan.Declaration.MessageClass;
import loftflow.config.plan.Declaration.Partner;

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
        Declaration.Undeliverable kept = declared.undeliverable();
        if (!kept.keep()) {
            return;
        }
        for (MessageClass messageClass : declared.classes()) {
            if (messageClass.shelfLife() < messageClass.deadline()) {
                error(
                        messageClass.at(),
                        "shelf-life",
                        duration(messageClass.shelfLife()) + " is shorter than deadline = "
                                + duration(messageClass.deadline())
                                + ": a message would be too old as soon as it is kept; raise it");
            }
        }
        if (kept.low() >= kept.high()) {
            error(
                    kept.at(),
                    "low",
                    kept.low() + " is no lower than undeliverable.high = " + kept.high()
                            + ": the store would be full and not full at once; lower it");
        }
        if (kept.limit() + derived.journal() > declared.machine().disk()) {
            error(
                    kept.at(),
                    "limit",
                    Units.ofSize(kept.limit()) + " and the journal's " + Units.ofSize(derived.journal())
                            + " share a folder with machine.disk = "
                            + Units.ofSize(declared.machine().disk())
                            + "; lower one or raise that");
        }
        for (Partner partner : declared.partners()) {
            if (partner.limit() > 0 && kept.pace() > partner.limit()) {
                error(
                        kept.at(),
                        "pace",
                        Units.ofRate(kept.pace()) + " is above the limit of partner " + partner.name() + ", "
                                + Units.ofRate(partner.limit()) + "; lower it");
            }
        }
    }

    private void checkWarmStart() {
        Declaration.Memory memory = declared.memory();
        if (!memory.keep()) {
            return;
        }
        long kept = declared.undeliverable().keep() ? declared.undeliverable().limit() : 0;
        if (memory.limit() + kept + derived.journal() > declared.machine().disk()) {
            error(
                    memory.at(),
                    "limit",
                    Units.ofSize(memory.limit()) + " and " + Units.ofSize(derived.journal() + kept)
                            + " for the journal and what is kept share a folder with machine.disk = "
                            + Units.ofSize(declared.machine().disk()) + "; lower one or raise that");
        }
        long snapshotBytes = declared.endpoints().size() * SizingModel.SNAPSHOT_BYTES_PER_ENDPOINT;
        if (snapshotBytes > memory.limit() * SizingModel.SNAPSHOT_SHARE) {
            error(
                    memory.at(),
                    "limit",
                    text(
                            "%d endpoints take some %s, and one picture may take three tenths of %s;" + " raise it",
                            declared.endpoints().size(), SizingModel.kib(snapshotBytes), Units.ofSize(memory.limit())));
        }
        if (declared.discovery().agent() != null && memory.settle() >= memory.halfLife()) {
            error(
                    memory.at(),
                    "settle",
                    duration(memory.settle()) + " is no shorter than memory.half-life = "
                            + duration(memory.halfLife())
                            + ": what discovery leaves out would be too old to be believed before it is"
                            + " gone; lower it");
        }
    }
}
