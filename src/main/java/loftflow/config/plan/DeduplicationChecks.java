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
        Declaration.Deduplication deduplication = declared.amqp().deduplication();
        double entries = declared.classes().stream()
                .mapToDouble(c -> (c.meanRatePerSecond() > 0 ? c.meanRatePerSecond() : c.peakRatePerSecond())
                        * deduplication.windowMicros()
                        / 1e6)
                .sum();
        if (entries > deduplication.maxEntries()) {
            warn(
                    deduplication.table(),
                    "entries",
                    text(
                            "%d ids are fewer than the %.0f messages of %s at the classes' rates: when they are"
                                    + " full, nothing more is taken on over AMQP; raise it or shorten the span",
                            deduplication.maxEntries(), entries, duration(deduplication.windowMicros())));
        }
    }

    private void checkMemory() {
        Declaration.Deduplication deduplication = declared.amqp().deduplication();
        long memory = deduplication.maxEntries() * SizingModel.HEAP_BYTES_PER_SEEN_ID;
        if (memory > SizingModel.SEEN_ID_HEAP_SHARE * derived.heapBytes()) {
            error(
                    deduplication.table(),
                    "entries",
                    text(
                            "%d ids take some %s, and may take a quarter of process.heap = %s; lower it",
                            deduplication.maxEntries(),
                            SizingModel.kib(memory),
                            Units.formatSize(derived.heapBytes())));
        }
    }

    private void checkDisk() {
        Declaration.Deduplication deduplication = declared.amqp().deduplication();
        long disk = deduplication.maxEntries() * SizingModel.DISK_BYTES_PER_SEEN_ID;
        long others = derived.journalBytes()
                + declared.deadLetters().reservedBytes()
                + declared.warmStart().reservedBytes();
        if (others + disk > declared.machine().diskBytes()) {
            error(
                    deduplication.table(),
                    "entries",
                    text(
                            "%d ids take up to %s, and with %s for the journal and what is kept that is more"
                                    + " than machine.disk = %s; lower it or raise that",
                            deduplication.maxEntries(),
                            SizingModel.kib(disk),
                            Units.formatSize(others),
                            Units.formatSize(declared.machine().diskBytes())));
        }
    }
}
