package loftflow.config.plan;

import static loftflow.config.plan.SizingModel.text;

import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;

/** Checks the size of the deduplication window against rates, memory and disk. */
final class DeduplicationChecks extends ConsistencyCheck {
    DeduplicationChecks(Declaration declared, DerivedSettings derived, List<Finding> findings) {
        super(declared, derived, findings);
    }

    @Override
    void run() {
        if (declared.takesAmqp()) {
            checkEntries();
            checkMemory();
            checkDisk();
        }
    }

    private void checkEntries() {
        Declaration.Duplicates deduplication = declared.amqp().duplicates();
        double entries = declared.classes().stream()
                .mapToDouble(c -> (c.meanRate() > 0 ? c.meanRate() : c.peakRate()) * deduplication.span() / 1e6)
                .sum();
        if (entries > deduplication.entries()) {
            warn(
                    deduplication.at(),
                    "entries",
                    text(
                            "%d ids are fewer than the %.0f messages of %s at the classes' rates: when they are"
                                    + " full, nothing more is taken on over AMQP; raise it or shorten the span",
                            deduplication.entries(), entries, duration(deduplication.span())));
        }
    }

    private void checkMemory() {
        Declaration.Duplicates deduplication = declared.amqp().duplicates();
        long memory = deduplication.entries() * SizingModel.HEAP_BYTES_PER_SEEN_ID;
        if (memory > SizingModel.SEEN_ID_HEAP_SHARE * derived.heap()) {
            error(
                    deduplication.at(),
                    "entries",
                    text(
                            "%d ids take some %s, and may take a quarter of process.heap = %s; lower it",
                            deduplication.entries(), SizingModel.kib(memory), Units.ofSize(derived.heap())));
        }
    }

    private void checkDisk() {
        Declaration.Duplicates deduplication = declared.amqp().duplicates();
        long disk = deduplication.entries() * SizingModel.DISK_BYTES_PER_SEEN_ID;
        long others = derived.journal()
                + (declared.undeliverable().keep() ? declared.undeliverable().limit() : 0)
                + (declared.memory().keep() ? declared.memory().limit() : 0);
        if (others + disk > declared.machine().disk()) {
            error(
                    deduplication.at(),
                    "entries",
                    text(
                            "%d ids take up to %s, and with %s for the journal and what is kept that is more"
                                    + " than machine.disk = %s; lower it or raise that",
                            deduplication.entries(),
                            SizingModel.kib(disk),
                            Units.ofSize(others),
                            Units.ofSize(declared.machine().disk())));
        }
    }
}
