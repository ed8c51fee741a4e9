package loftflow.config.plan;

import java.util.ArrayList;
import java.util.List;
import loftflow.config.file.Finding;
import loftflow.config.file.Units;

/** Checks the derived settings against the machine that the relay runs on. */
final class MachineChecks extends ConsistencyCheck {
    /** A relay has sent its last responses this long after SIGTERM. */
    private static final long MAX_SHUTDOWN_MICROS = 3_200_000;

    private final MachineInspector machineInspector;

    MachineChecks(
            Declaration declared, DerivedSettings derived, MachineInspector machineInspector, List<Finding> findings) {
        super(declared, derived, findings);
        this.machineInspector = machineInspector;
    }

    @Override
    void run() {
        checkMemory();
        checkDisk();
        checkTimes();
        checkFolder();
    }

    private void checkMemory() {
        Declaration.Machine machine = declared.machine();
        long memory = derived.heapBytes() + derived.directMemoryBytes() + SizingModel.JVM_BYTES;
        if (memory > machine.memoryBytes()) {
            derivedError(
                    "process.heap",
                    Units.formatSize(derived.heapBytes()) + " of heap, " + Units.formatSize(derived.directMemoryBytes())
                            + " of direct memory and " + Units.formatSize(SizingModel.JVM_BYTES)
                            + " for the JVM itself are "
                            + Units.formatSize(memory) + ", and machine.memory = "
                            + Units.formatSize(machine.memoryBytes())
                            + "; lower the heap or raise that");
        }
    }

    private void checkDisk() {
        Declaration.Machine machine = declared.machine();
        if (derived.journalBytes() > machine.diskBytes()) {
            derivedError(
                    "journal.limit",
                    Units.formatSize(derived.journalBytes()) + " is more than machine.disk = "
                            + Units.formatSize(machine.diskBytes()) + "; lower it");
        }
    }

    private void checkTimes() {
        Declaration.Machine machine = declared.machine();
        if (derived.drainGraceMicros() >= machine.stopTimeMicros()) {
            derivedError(
                    "rules.drain-grace",
                    duration(derived.drainGraceMicros()) + " is no shorter than machine.stop-time = "
                            + duration(machine.stopTimeMicros())
                            + ": the process would be ended before the grace is over; lower it");
        }
        if (machine.stopTimeMicros() < MAX_SHUTDOWN_MICROS) {
            warn(
                    machine.table(),
                    "stop-time",
                    duration(machine.stopTimeMicros()) + " is shorter than the " + duration(MAX_SHUTDOWN_MICROS)
                            + " that a planned end may take: what is still open then waits for the next start");
        }
        if (derived.warmUpMicros() > 0 && derived.overloadWindowMicros() > derived.warmUpMicros()) {
            derivedError(
                    "rules.fall-span",
                    duration(derived.overloadWindowMicros()) + " is longer than rules.warm-up = "
                            + duration(derived.warmUpMicros()) + ": the rule could never bind; lower it");
        }
    }

    private void checkFolder() {
        Declaration.Machine machine = declared.machine();
        machineInspector
                .temporary()
                .filter(temporary -> isWithin(machine.folder(), temporary))
                .ifPresent(temporary -> error(
                        machine.table(),
                        "folder",
                        machine.folder() + " is inside $TMPDIR (" + temporary
                                + "), which is emptied at each start; keep the journal elsewhere"));
        machineInspector.fault(machine.folder()).ifPresent(fault -> error(machine.table(), "folder", fault));
    }

    /** True if a folder is another one, or inside it. */
    static boolean isWithin(String folder, String outer) {
        String inner = normalize(folder);
        String within = normalize(outer);
        return inner.equals(within) || inner.startsWith(within.equals("/") ? within : within + "/");
    }

    private static String normalize(String folder) {
        List<String> parts = new ArrayList<>();
        for (String part : folder.split("/")) {
            if (part.equals("..") && !parts.isEmpty()) {
                parts.remove(parts.size() - 1);
            } else if (!part.isEmpty() && !part.equals(".") && !part.equals("..")) {
                parts.add(part);
            }
        }
        return "/" + String.join("/", parts);
    }
}
