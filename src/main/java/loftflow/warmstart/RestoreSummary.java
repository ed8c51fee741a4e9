package loftflow.warmstart;

import java.util.EnumMap;
import java.util.Map;
import loftflow.clock.DowntimeEstimate;

/** Log summary of a restore: the number of endpoints at each trust level. */
final class RestoreSummary {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final long revision;
    private final DowntimeEstimate downtime;
    private final Map<EndpointTrust, Integer> counts = new EnumMap<>(EndpointTrust.class);

    RestoreSummary(long revision, DowntimeEstimate downtime) {
        this.revision = revision;
        this.downtime = downtime;
    }

    void count(EndpointTrust trust) {
        counts.merge(trust, 1, Integer::sum);
    }

    String logLine() {
        int endpoints = counts.values().stream().mapToInt(Integer::intValue).sum();
        return "warmstart: restored endpoints=" + endpoints
                + " revision=" + revision
                + " ageSeconds=" + ageSeconds()
                + " clock=" + (downtime.isUncertain() ? "unproven" : "proven")
                + " asListed=" + countOf(EndpointTrust.AS_LISTED)
                + " probeFirst=" + countOf(EndpointTrust.PROBE_FIRST)
                + " lastResort=" + countOf(EndpointTrust.LAST_RESORT)
                + " never=" + countOf(EndpointTrust.NEVER);
    }

    private String ageSeconds() {
        return downtime.maxMicros() == DowntimeEstimate.UNKNOWN
                ? "unknown"
                : String.valueOf(downtime.maxMicros() / MICROS_PER_SECOND);
    }

    private int countOf(EndpointTrust trust) {
        return counts.getOrDefault(trust, 0);
    }
}
