package loftflow.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Totals over the histories of many seeds, for the summary of {@link Soak}. Thread-safe. */
final class SoakTotals {
    /** Number of messages that received one kind of malformed response, and of those that were lost. */
    private static final class ResponseTotals {
        private int messages;
        private int lost;
    }

    private int messages;
    private int accepted;
    private int cutOff;
    private int timedOut;
    private int timedOutDelivered;
    private int receipts;
    private final Map<String, ResponseTotals> malformedResponses = new TreeMap<>();

    synchronized void add(SoakHistory history) {
        SoakChecks checks = new SoakChecks(history);
        messages += history.submissions.size();
        receipts += history.receipts.size();
        for (SoakHistory.Submission submission : history.submissions) {
            accepted += submission.answer() == SoakHistory.Answer.ACCEPTED ? 1 : 0;
            cutOff += submission.answer() == SoakHistory.Answer.CUT_OFF ? 1 : 0;
            if (checks.isTimedOutInService(submission)) {
                timedOut++;
                timedOutDelivered += checks.isDeliveredWithoutCompletion(submission) ? 1 : 0;
            }
            addResponses(checks.receiptsOf(submission.id()), checks.isLost(submission));
        }
    }

    /** Counts malformed responses; a lost message is attributed to the last response that it received. */
    private void addResponses(List<SoakHistory.Receipt> receipts, boolean isLost) {
        for (int i = 0; i < receipts.size(); i++) {
            String response = receipts.get(i).response();
            if (MalformedResponse.isNamedIn(response)) {
                ResponseTotals totals = malformedResponses.computeIfAbsent(response, absent -> new ResponseTotals());
                totals.messages++;
                totals.lost += isLost && i == receipts.size() - 1 ? 1 : 0;
            }
        }
    }

    /** Returns a line for each kind of malformed response that was written. */
    synchronized List<String> malformedResponses() {
        return malformedResponses.entrySet().stream()
                .map(entry -> entry.getKey() + ": " + entry.getValue().messages + " messages, " + entry.getValue().lost
                        + " lost")
                .toList();
    }

    @Override
    public synchronized String toString() {
        return messages + " messages, " + accepted + " accepted, " + cutOff + " unanswered, " + timedOut
                + " without an answer in time while in service (" + timedOutDelivered + " of them delivered silently), "
                + receipts + " receipts";
    }
}
