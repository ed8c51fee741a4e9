package loftflow.config.plan;

import java.util.ArrayList;
import java.util.List;
import loftflow.config.file.Finding;

/**
 * Contradictions between settings that are each well formed. Errors are settings with which no relay could fulfil its
 * guarantees; warnings are settings that work less well than operators may expect. Free of I/O.
 */
public final class ConsistencyChecks {
    private ConsistencyChecks() {}

    /** All contradictions, grouped by subject. */
    public static List<Finding> of(Declaration declared, DerivedSettings derived, MachineInspector machineInspector) {
        List<Finding> findings = new ArrayList<>();
        List<ConsistencyCheck> checks = List.of(
                new NameChecks(declared, derived, findings),
                new MessageClassChecks(declared, derived, findings),
                new PartnerChecks(declared, derived, findings),
                new AddressChecks(declared, derived, findings),
                new CapacityChecks(declared, derived, findings),
                new MachineChecks(declared, derived, machineInspector, findings),
                new StorageChecks(declared, derived, findings),
                new AmqpChecks(declared, derived, machineInspector, findings),
                new DeduplicationChecks(declared, derived, findings),
                new Http2Checks(declared, derived, findings));
        checks.forEach(ConsistencyCheck::run);
        return findings;
    }
}
