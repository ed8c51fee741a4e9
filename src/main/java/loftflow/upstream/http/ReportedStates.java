package loftflow.upstream.http;

import java.util.Map;

/**
 * The message states that the response to a batch reports.
 *
 * @param byMessageId the states of the messages of the call that it names
 * @param namesOthers whether it names messages that are not of the call
 */
record ReportedStates(Map<String, String> byMessageId, boolean namesOthers) {
    static final ReportedStates NONE = new ReportedStates(Map.of(), false);
}
