package loftflow.experiment.evaluation;

import java.util.Arrays;
import java.util.List;
import loftflow.experiment.history.MessageHistory;
import loftflow.experiment.history.RunHistory;
import loftflow.experiment.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * Service as the users define it: worth delivered over worth asked. A delivery within the wanted time counts in full,
 * then
 * less and less down to the stated share at the deadline; repeats count with the first try; traffic beyond a tenant's
 * share
 * counts a tenth. The figure is 40% the whole run, 30% the worst 10 s, 20% the worst class, 10% the worst tenant.
 */
public final class ServiceReport {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 10;
    /** A window with less of the run's worth than this share of the mean tells nothing. */
    private static final double LEAST_WINDOW = 0.1;

    private static final long LONGEST = 3_600 * SECOND;

    /** Worth delivered and asked. */
    private static final class Worth {
        private double delivered;
        private double asked;

        void add(double worth, double got) {
            asked += worth;
            delivered += got;
        }

        double share() {
            return asked == 0 ? 1 : delivered / asked;
        }
    }

    /**
     * One class's part.
     *
     * @param p50 milliseconds from handing in until the delivery; 0 where there was none
     */
    public record OfClass(
            String name,
            double service,
            long asked,
            long delivered,
            long refused,
            long failed,
            double p50,
            double p99,
            double attempts) {}

    /**
     * All of it.
     *
     * @param figure the weighted one, from 0 to 1
     * @param attempts a message
     * @param peakLoad the highest load of an endpoint in any second, as a multiple of what it could do then
     */
    public record Report(
            double figure,
            double whole,
            double worstWindow,
            double worstClass,
            double worstTenant,
            long asked,
            long delivered,
            long refused,
            long failed,
            double p50,
            double p99,
            double attempts,
            double peakLoad,
            List<OfClass> classes) {}

    private final Scenario scenario;
    private final Scenario.Rules rules;
    private final RunHistory history;

    private ServiceReport(Scenario scenario, Scenario.Rules rules, RunHistory history) {
        this.scenario = scenario;
        this.rules = rules;
        this.history = history;
    }

    /** What a history is worth. */
    public static Report of(Scenario scenario, Scenario.Rules rules, RunHistory history) {
        return new ServiceReport(scenario, rules, history).report();
    }

    /** The share of its worth that a message of a class still has, so long after it was handed in. */
    public static double left(Scenario.MessageClass type, long after) {
        if (after <= type.wanted()) {
            return 1;
        }
        if (after > type.deadline()) {
            return 0;
        }
        return 1 - (1 - type.lateWorth()) * (after - type.wanted()) / (type.deadline() - type.wanted());
    }

    private Report report() {
        int seconds = (int) (scenario.span() / SECOND) + 1;
        Worth whole = new Worth();
        Worth[] bySecond = worths(seconds);
        Worth[] byClass = worths(scenario.classes().size());
        Worth[] byTenant = worths(scenario.tenants().size());
        long[][] counts = new long[scenario.classes().size()][4];
        Histogram[] latencies = new Histogram[scenario.classes().size()];
        Arrays.setAll(latencies, i -> new Histogram(LONGEST, 3));
        Quota[] quotas =
                scenario.tenants().stream().map(t -> new Quota(t.rate())).toArray(Quota[]::new);
        long[] posted = new long[scenario.classes().size()];
        for (MessageHistory ask : history.asks()) {
            int c = ask.type();
            Scenario.MessageClass type = scenario.classes().get(c);
            boolean within = ask.tenant() < 0 || quotas[ask.tenant()].holds(ask.at());
            double worth = type.worth() * (within ? 1 : rules.overShare());
            double got = ask.isDelivered() ? worth * left(type, ask.doneAt() - ask.at()) : 0;
            whole.add(worth, got);
            bySecond[(int) Math.min(seconds - 1, ask.at() / SECOND)].add(worth, got);
            byClass[c].add(worth, got);
            if (ask.tenant() >= 0 && within) {
                byTenant[ask.tenant()].add(worth, got);
            }
            counts[c][0]++;
            if (ask.isDelivered()) {
                counts[c][1]++;
                latencies[c].recordValue(Math.min(LONGEST, ask.doneAt() - ask.at()));
            } else {
                counts[c][ask.told() == MessageHistory.Told.REFUSED ? 2 : 3]++;
            }
            posted[c] += ask.postings().size();
        }
        double worstWindow = worstWindow(bySecond, whole);
        double worstClass =
                Arrays.stream(byClass).mapToDouble(Worth::share).min().orElse(1);
        double worstTenant =
                Arrays.stream(byTenant).mapToDouble(Worth::share).min().orElse(whole.share());
        Histogram all = new Histogram(LONGEST, 3);
        OfClass[] classes = new OfClass[counts.length];
        for (int c = 0; c < counts.length; c++) {
            all.add(latencies[c]);
            classes[c] = new OfClass(
                    scenario.classes().get(c).name(),
                    byClass[c].share(),
                    counts[c][0],
                    counts[c][1],
                    counts[c][2],
                    counts[c][3],
                    millis(latencies[c], 50),
                    millis(latencies[c], 99),
                    (double) posted[c] / Math.max(1, counts[c][0]));
        }
        long asked = history.asks().size();
        return new Report(
                0.4 * whole.share() + 0.3 * worstWindow + 0.2 * worstClass + 0.1 * worstTenant,
                whole.share(),
                worstWindow,
                worstClass,
                worstTenant,
                asked,
                sum(counts, 1),
                sum(counts, 2),
                sum(counts, 3),
                millis(all, 50),
                millis(all, 99),
                (double) Arrays.stream(posted).sum() / Math.max(1, asked),
                peakLoad(),
                List.of(classes));
    }

    private static Worth[] worths(int count) {
        Worth[] worths = new Worth[count];
        Arrays.setAll(worths, i -> new Worth());
        return worths;
    }

    private static long sum(long[][] counts, int which) {
        return Arrays.stream(counts).mapToLong(c -> c[which]).sum();
    }

    private static double millis(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static double worstWindow(Worth[] bySecond, Worth whole) {
        double mean = whole.asked / bySecond.length * WINDOW;
        double worst = whole.share();
        for (int from = 0; from + WINDOW <= bySecond.length; from++) {
            Worth window = new Worth();
            for (int i = from; i < from + WINDOW; i++) {
                window.add(bySecond[i].asked, bySecond[i].delivered);
            }
            if (window.asked > mean * LEAST_WINDOW) {
                worst = Math.min(worst, window.share());
            }
        }
        return worst;
    }

    private double peakLoad() {
        return history.loads().stream()
                .filter(l -> l.calls() > 1)
                .mapToDouble(l -> l.calls() / l.able())
                .max()
                .orElse(0);
    }

    /** A tenant's share: a second's worth of it may come at once. */
    private static final class Quota {
        private final double rate;
        private double tokens;
        private long at;

        Quota(double rate) {
            this.rate = rate;
            tokens = rate;
        }

        boolean holds(long now) {
            if (rate == 0) {
                return true;
            }
            tokens = Math.min(Math.max(1, rate), tokens + rate * (now - at) / SECOND);
            at = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }
}
