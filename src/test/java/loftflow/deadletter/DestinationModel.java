package loftflow.deadletter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Model of the destinations of the campaign: counts executions and pending executions by message id. */
final class DestinationModel {
    /** Execution of a message with a key. */
    private record KeyedExecution(long atMicros, int zone) {}

    final Map<String, Integer> executions = new HashMap<>();
    final Map<String, Integer> pendingExecutions = new HashMap<>();
    final List<String> executionLog = new ArrayList<>();
    final Map<String, String> classes = new HashMap<>();
    private final Map<String, List<KeyedExecution>> executionsByKey = new HashMap<>();

    /** Executes a message unless its zone has executed one with the same key within the key window. */
    void execute(String id, String requestClass, String key, int zone, long nowMicros) {
        if (requestClass.equals("keyed")) {
            List<KeyedExecution> known = executionsByKey.computeIfAbsent(key, absent -> new ArrayList<>());
            if (known.stream().anyMatch(execution -> isDuplicate(execution, zone, nowMicros))) {
                return;
            }
            known.add(new KeyedExecution(nowMicros, zone));
        }
        executions.merge(id, 1, Integer::sum);
        executionLog.add(id + " at " + nowMicros);
    }

    private static boolean isDuplicate(KeyedExecution execution, int zone, long nowMicros) {
        return execution.zone() == zone && nowMicros - execution.atMicros() < CampaignSettings.KEY_WINDOW_MICROS;
    }
}
