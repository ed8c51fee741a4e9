package loftflow.experiment.evaluation;

import java.util.List;
import loftflow.experiment.history.CallCounts;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;

/**
 * The cost of a run beside its service: load on partners, messages that ended without an attempt or a response, and how
 * late completions were reported.
 *
 * @param submitted messages, each counted once
 * @param rejectedWithoutAttempt messages that were finally rejected and never sent to a partner
 * @param connectionsLost messages whose client finally lost its connection before a response
 * @param completedInTime completions reported by the deadline
 * @param lateWithin100Millis completions reported up to 100 ms after the deadline
 * @param lateWithin300Millis completions reported more than 100 ms and up to 300 ms after the deadline
 * @param lateBeyond300Millis completions reported later than that
 * @param maxLatenessMicros lateness of the latest completion; 0 where all were in time
 * @param latestMessage number of that message; -1 where there is none
 */
public record FleetCostReport(
        CallCounts counts,
        long submitted,
        long rejectedWithoutAttempt,
        long connectionsLost,
        long completedInTime,
        long lateWithin100Millis,
        long lateWithin300Millis,
        long lateBeyond300Millis,
        long maxLatenessMicros,
        int latestMessage) {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int NO_MESSAGE = -1;

    /** Evaluates a run that is over. */
    public static FleetCostReport of(RunHistory history) {
        List<MessageHistory> messages = history.messages();
        Lateness lateness = new Lateness();
        for (int i = 0; i < messages.size(); i++) {
            MessageHistory message = messages.get(i);
            if (message.completedAtMicros() >= 0) {
                lateness.add(i, Math.max(0, message.completedAtMicros() - message.deadlineMicros()));
            }
        }
        return new FleetCostReport(
                history.callCounts(),
                messages.size(),
                messages.stream()
                        .filter(FleetCostReport::isRejectedWithoutAttempt)
                        .count(),
                messages.stream()
                        .filter(m -> m.clientOutcome() == MessageHistory.ClientOutcome.CONNECTION_LOST)
                        .count(),
                lateness.inTime,
                lateness.within100Millis,
                lateness.within300Millis,
                lateness.beyond300Millis,
                lateness.maxMicros,
                lateness.latestMessage);
    }

    private static boolean isRejectedWithoutAttempt(MessageHistory message) {
        return message.clientOutcome() == MessageHistory.ClientOutcome.REJECTED
                && message.calls().isEmpty();
    }

    /** Completions by how late they were reported. */
    private static final class Lateness {
        private long inTime;
        private long within100Millis;
        private long within300Millis;
        private long beyond300Millis;
        private long maxMicros;
        private int latestMessage = NO_MESSAGE;

        void add(int message, long lateMicros) {
            if (lateMicros == 0) {
                inTime++;
            } else if (lateMicros <= 100 * MICROS_PER_MILLI) {
                within100Millis++;
            } else if (lateMicros <= 300 * MICROS_PER_MILLI) {
                within300Millis++;
            } else {
                beyond300Millis++;
            }
            if (lateMicros > maxMicros) {
                maxMicros = lateMicros;
                latestMessage = message;
            }
        }
    }

    /** A count per thousand submitted messages. */
    public double perThousand(long count) {
        return submitted == 0 ? 0 : 1_000.0 * count / submitted;
    }
}
