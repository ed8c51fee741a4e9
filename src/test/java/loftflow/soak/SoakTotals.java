package loftflow.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Adds the histories of many seeds up, for the summary of {@link Soak}. Thread-safe. */
final class SoakTotals {
    /** What became of the messages that met one kind of malformed response. */
    private static final class ResponseTotals {
        private int messages;
        private int lost;
    }

    private int messages;
    private int accepted;
    private int cutOff;
    private int unheard;
    private int unheardDelivered;
    private int receipts;
    private final Map<String, ResponseTotals> malformedResponses = new TreeMap<>();

    synchronized void add(SoakHistory history) {
        SoakChecks checks = new SoakChecks(history);
        messages += history.submissions.size();
        receipts += history.receipts.size();
        for (SoakHistory.Submission submission : history.submissions) {
            accepted += submission.answer() == SoakHistory.Answer.ACCEPTED ? 1 : 0;
            cutOff += submission.answer() == SoakHistory.Answer.CUT_OFF ? 1 : 0;
            if (checks.isUnheardInService(submission)) {
                unheard++;
                unheardDelivered += checks.isDeliveredSilently(submission) ? 1 : 0;
            }
            addResponses(checks.receiptsOf(submission.id()), checks.isLost(submission));
        }
    }

    /** A lost message counts for the last response that it met. */
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

    /** A line for each kind of malformed response that was written. */
    synchronized List<String> malformedResponses() {
        return malformedResponses.entrySet().stream()
                .map(entry -> entry.getKey() + ": " + entry.getValue().messages + " messages, " + entry.getValue().lost
                        + " lost")
                .toList();
    }

    @Override
    public synchronized String toString() {
        return messages + " messages, " + accepted + " accepted, " + cutOff + " unanswered, " + unheard
                + " without an answer in time while in service (" + unheardDelivered + " of them delivered silently), "
                + receipts + " receipts";
    }
}
