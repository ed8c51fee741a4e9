package loftflow.deadletter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the destinations of the campaign executed, by message id, and what they may still execute. */
final class DestinationModel {
    /** An execution of a call with a key. */
    private record KeyedExecution(long atMicros, int zone) {}

    final Map<String, Integer> executions = new HashMap<>();
    final Map<String, Integer> pendingExecutions = new HashMap<>();
    final List<String> executionLog = new ArrayList<>();
    final Map<String, String> classes = new HashMap<>();
    private final Map<String, List<KeyedExecution>> executionsByKey = new HashMap<>();

    /** Executes a call, unless its zone has executed one with the same key within the key window. */
    void execute(String id, String requestClass, String key, int zone, long nowMicros) {
        if (requestClass.equals("keyed")) {
            List<KeyedExecution> known = executionsByKey.computeIfAbsent(key, absent -> new ArrayList<>());
            if (known.stream().anyMatch(execution -> isRepetition(execution, zone, nowMicros))) {
                return;
            }
            known.add(new KeyedExecution(nowMicros, zone));
        }
        executions.merge(id, 1, Integer::sum);
        executionLog.add(id + " at " + nowMicros);
    }

    private static boolean isRepetition(KeyedExecution execution, int zone, long nowMicros) {
        return execution.zone() == zone && nowMicros - execution.atMicros() < CampaignSettings.KEY_WINDOW_MICROS;
    }
}
