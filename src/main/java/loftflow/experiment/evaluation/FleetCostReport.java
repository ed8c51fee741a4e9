package loftflow.experiment.evaluation;

import java.util.List;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;

/**
 * What a run cost beside its service: totals over all relays, what ended without an attempt or without an answer, and
 * how late
 * ends were told.
 *
 * @param asked messages, each counted once however often it was handed in
 * @param untried messages whose last word was a refusal, and which no partner ever got
 * @param cut messages whose client's connection broke before an answer, for the last time
 * @param inTime ends that were told by the deadline, and up to 100 ms, 300 ms and any time after it
 * @param latest microseconds after its deadline at which the latest end was told; 0 where all were in time
 * @param latestAsk the number of that message, -1 where there is none
 */
public record FleetCostReport(
        CallCounts counts,
        long asked,
        long untried,
        long cut,
        long inTime,
        long within100,
        long within300,
        long later,
        long latest,
        int latestAsk) {
    private static final long MS = 1_000;

    /** Of a run that is over. */
    public static FleetCostReport of(RunHistory history) {
        List<MessageHistory> asks = history.asks();
        long untried = 0;
        long cut = 0;
        long[] ends = new long[4];
        long latest = 0;
        int latestAsk = -1;
        for (int i = 0; i < asks.size(); i++) {
            MessageHistory ask = asks.get(i);
            untried +=
                    ask.told() == MessageHistory.Told.REFUSED && ask.postings().isEmpty() ? 1 : 0;
            cut += ask.told() == MessageHistory.Told.CUT ? 1 : 0;
            if (ask.endedAt() >= 0) {
                long late = Math.max(0, ask.endedAt() - ask.due());
                ends[late == 0 ? 0 : late <= 100 * MS ? 1 : late <= 300 * MS ? 2 : 3]++;
                if (late > latest) {
                    latest = late;
                    latestAsk = i;
                }
            }
        }
        return new FleetCostReport(
                history.costs(), asks.size(), untried, cut, ends[0], ends[1], ends[2], ends[3], latest, latestAsk);
    }

    /** So many for a thousand messages. */
    public double perThousand(long count) {
        return asked == 0 ? 0 : 1_000.0 * count / asked;
    }
}
