package loftflow.warmstart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.EndpointListKind;

/**
 * Decides which parts of a discovery list are accepted, and when. An entry that takes its endpoint out of service is
 * accepted at once. Only entries that put an endpoint into service, and omissions, can be doubtful.
 *
 * <ul>
 * <li>A list that is empty, or that omits nine of ten endpoints (of {@value #MIN_ENDPOINTS_FOR_LOSS_CHECK} or more):
 * the omitted endpoints stay in service until discovery has sent such lists for the settle time.
 * <li>A list with an older revision: its removals and its confirmations of endpoints in service apply at once. Its
 * additions and omissions apply after the settle time, since discovery may have restarted its revision count.
 * <li>A new id at the address of another endpoint: the other endpoint is removed, even if the list does not name it.
 * <li>An endpoint that returns for the {@value #FLAP_RETURNS}rd time within a minute is held back until it has been
 * listed for ten seconds; the hold doubles with each further return, up to five minutes.
 * </ul>
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
public final class EndpointListReconciler {
    /** Value of a time that is never reached. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Number of returns within {@link #FLAP_WINDOW_MICROS} at which an endpoint counts as flapping. */
    static final int FLAP_RETURNS = 3;
    /** Number of endpoints in service below which the loss of most of them in one list is not doubtful. */
    static final int MIN_ENDPOINTS_FOR_LOSS_CHECK = 10;

    private static final double DOUBTFUL_LOSS_RATIO = 0.9;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long FLAP_WINDOW_MICROS = 60 * MICROS_PER_SECOND;
    private static final long FIRST_HOLD_MICROS = 10 * MICROS_PER_SECOND;
    private static final long MAX_HOLD_MICROS = 300 * MICROS_PER_SECOND;
    private static final int MAX_HOLD_DOUBLINGS = 10;

    /**
     * The outcome of the reconciliation of one list.
     *
     * @param accepted the accepted part of the list; null if nothing is accepted
     * @param logLines lines to log
     * @param refreshAtMicros when to request the full list again; {@link #NEVER} if no request is needed
     */
    public record Result(ListUpdate accepted, List<String> logLines, long refreshAtMicros) {}

    private static final class TrackedEndpoint {
        ListedEndpoint listing;
        boolean isInService;
        int returns;
        long firstReturnMicros;
        /** End of the hold of a flapping endpoint; 0 if it is not held back. */
        long heldUntilMicros;

        TrackedEndpoint(ListedEndpoint listing) {
            this.listing = listing;
            this.isInService = true;
        }

        boolean isHeld() {
            return heldUntilMicros > 0;
        }

        void takeOutOfService() {
            isInService = false;
            heldUntilMicros = 0;
        }

        void putIntoService() {
            isInService = true;
            heldUntilMicros = 0;
        }
    }

    private final long settleMicros;
    private final Map<String, TrackedEndpoint> trackedEndpoints = new LinkedHashMap<>();
    private long revision;
    private long doubtedSinceMicros = NEVER;

    /**
     * Creates a reconciler that starts from the given endpoints in service.
     *
     * @param settleMicros microseconds after which a doubtful list is accepted; 0 accepts every list at once
     * @param revision revision of the list that the endpoints come from; -1 if unknown
     */
    public EndpointListReconciler(long settleMicros, long revision, List<ListedEndpoint> inService) {
        this.settleMicros = settleMicros;
        this.revision = revision;
        inService.forEach(listing -> trackedEndpoints.put(listing.id(), new TrackedEndpoint(listing)));
    }

    /** Resets the known revision after the discovery agent was replaced: revisions of two agents are not comparable. */
    public void resetRevision() {
        revision = -1;
        doubtedSinceMicros = NEVER;
    }

    private boolean hasSettleTime() {
        return settleMicros > 0;
    }

    private boolean isOlderRevision(ListUpdate list) {
        return hasSettleTime() && list.revision() < revision;
    }

    /** Reconciles a list with the tracked endpoints. */
    public Result reconcile(ListUpdate list, long nowMicros) {
        return list.kind() == EndpointListKind.DELTA ? reconcileDelta(list, nowMicros) : reconcileFull(list, nowMicros);
    }

    private Result reconcileDelta(ListUpdate list, long nowMicros) {
        List<String> logLines = new ArrayList<>();
        boolean isOlderRevision = isOlderRevision(list);
        List<ListedEndpoint> entries = acceptEntries(list, nowMicros, isOlderRevision, logLines);
        revision = Math.max(revision, list.revision());
        return deltaResult(list.revision(), entries, logLines, isOlderRevision ? nowMicros : NEVER);
    }

    private Result reconcileFull(ListUpdate list, long nowMicros) {
        List<String> logLines = new ArrayList<>();
        String doubt = doubtOf(list);
        if (doubt != null) {
            if (doubtedSinceMicros == NEVER) {
                doubtedSinceMicros = nowMicros;
                logLines.add("warmstart: discovery list in doubt " + doubt);
            }
            if (nowMicros - doubtedSinceMicros < settleMicros) {
                List<ListedEndpoint> entries = acceptEntries(list, nowMicros, isOlderRevision(list), logLines);
                return deltaResult(list.revision(), entries, logLines, doubtedSinceMicros + settleMicros);
            }
            logLines.add("warmstart: doubtful discovery list accepted " + doubt);
        }
        doubtedSinceMicros = NEVER;
        revision = list.revision();
        List<ListedEndpoint> entries = acceptEntries(list, nowMicros, false, logLines);
        Set<String> namedIds = idsOf(list);
        trackedEndpoints.values().stream()
                .filter(tracked -> !namedIds.contains(tracked.listing.id()))
                .forEach(TrackedEndpoint::takeOutOfService);
        evictStaleEndpoints(nowMicros);
        return new Result(new ListUpdate(EndpointListKind.FULL, list.revision(), entries), logLines, NEVER);
    }

    private static Result deltaResult(
            long listRevision, List<ListedEndpoint> entries, List<String> logLines, long refreshAtMicros) {
        ListUpdate accepted = entries.isEmpty() ? null : new ListUpdate(EndpointListKind.DELTA, listRevision, entries);
        return new Result(accepted, logLines, refreshAtMicros);
    }

    private static Set<String> idsOf(ListUpdate list) {
        Set<String> ids = new HashSet<>();
        list.entries().forEach(entry -> ids.add(entry.id()));
        return ids;
    }

    /** Returns why a full list is doubtful, as keys and values for the log; null if it is not doubtful. */
    private String doubtOf(ListUpdate list) {
        if (!hasSettleTime()) {
            return null;
        }
        return isOlderRevision(list)
                ? "reason=older-revision revision=" + list.revision() + " known=" + revision
                : doubtfulLossOf(list);
    }

    /**
     * Returns why the omissions of a list are doubtful; null if they are not. Counts only endpoints that the list does
     * not name: an entry that takes its endpoint out of service is explicit and is not an omission.
     */
    private String doubtfulLossOf(ListUpdate list) {
        Set<String> namedIds = idsOf(list);
        long inService = trackedEndpoints.values().stream()
                .filter(tracked -> tracked.isInService)
                .count();
        long missing = trackedEndpoints.values().stream()
                .filter(tracked -> tracked.isInService && !namedIds.contains(tracked.listing.id()))
                .count();
        boolean isMajorLoss = inService >= MIN_ENDPOINTS_FOR_LOSS_CHECK && missing >= DOUBTFUL_LOSS_RATIO * inService;
        boolean isDoubtful = missing > 0 && namedIds.isEmpty() || isMajorLoss;
        return isDoubtful ? "reason=endpoints-missing missing=" + missing + " known=" + inService : null;
    }

    /** Returns the accepted entries. With an older revision, only entries that remove or confirm an endpoint count. */
    private List<ListedEndpoint> acceptEntries(
            ListUpdate list, long nowMicros, boolean isOlderRevision, List<String> logLines) {
        List<ListedEndpoint> accepted = new ArrayList<>();
        Set<String> namedIds = idsOf(list);
        for (ListedEndpoint entry : list.entries()) {
            TrackedEndpoint tracked = trackedEndpoints.get(entry.id());
            if (!entry.isInService()) {
                if (tracked != null) {
                    tracked.listing = entry;
                    tracked.takeOutOfService();
                }
                accepted.add(entry);
            } else if (!isOlderRevision || tracked != null && tracked.isInService) {
                removeOthersAtAddress(entry, namedIds, accepted, logLines);
                if (acceptListed(entry, tracked, nowMicros, logLines)) {
                    accepted.add(entry);
                }
            }
        }
        return accepted;
    }

    private void removeOthersAtAddress(
            ListedEndpoint entry, Set<String> namedIds, List<ListedEndpoint> accepted, List<String> logLines) {
        for (TrackedEndpoint other : trackedEndpoints.values()) {
            if (other.isInService
                    && other.listing.address().equals(entry.address())
                    && !namedIds.contains(other.listing.id())) {
                logLines.add("warmstart: address reassigned address=" + entry.address() + " endpoint=" + entry.id()
                        + " previous=" + other.listing.id());
                other.takeOutOfService();
                accepted.add(other.listing.removed());
            }
        }
    }

    /** Records an entry that is in service. Returns false if the endpoint is held back for flapping. */
    private boolean acceptListed(ListedEndpoint entry, TrackedEndpoint known, long nowMicros, List<String> logLines) {
        if (known == null) {
            trackedEndpoints.put(entry.id(), new TrackedEndpoint(entry));
            return true;
        }
        known.listing = entry;
        if (known.isInService) {
            return true;
        }
        if (known.isHeld()) {
            return false;
        }
        if (nowMicros - known.firstReturnMicros > FLAP_WINDOW_MICROS) {
            known.returns = 0;
            known.firstReturnMicros = nowMicros;
        }
        known.returns++;
        if (hasSettleTime() && known.returns >= FLAP_RETURNS) {
            hold(known, nowMicros, logLines);
            return false;
        }
        known.putIntoService();
        return true;
    }

    private static void hold(TrackedEndpoint tracked, long nowMicros, List<String> logLines) {
        int doublings = Math.min(MAX_HOLD_DOUBLINGS, tracked.returns - FLAP_RETURNS);
        long holdMicros = Math.min(MAX_HOLD_MICROS, FIRST_HOLD_MICROS << doublings);
        tracked.heldUntilMicros = nowMicros + holdMicros;
        // The window starts at the end of the hold, so that a hold longer than the window does not reset the count.
        tracked.firstReturnMicros = tracked.heldUntilMicros;
        logLines.add("warmstart: flapping endpoint held back endpoint=" + tracked.listing.id() + " returns="
                + tracked.returns + " holdSeconds=" + holdMicros / MICROS_PER_SECOND);
    }

    /**
     * Evicts endpoints that have long been out of service, so that the map does not grow with every endpoint ever seen.
     */
    private void evictStaleEndpoints(long nowMicros) {
        trackedEndpoints
                .values()
                .removeIf(tracked -> !tracked.isInService
                        && !tracked.isHeld()
                        && nowMicros - tracked.firstReturnMicros > MAX_HOLD_MICROS);
    }

    /** Returns when the next hold ends; {@link #NEVER} if no endpoint is held back. */
    public long nextReleaseMicros() {
        return trackedEndpoints.values().stream()
                .filter(TrackedEndpoint::isHeld)
                .mapToLong(tracked -> tracked.heldUntilMicros)
                .min()
                .orElse(NEVER);
    }

    /** Puts endpoints whose hold has ended into service. Returns null if there are none. */
    public ListUpdate releaseDue(long nowMicros) {
        List<ListedEndpoint> entries = new ArrayList<>();
        for (TrackedEndpoint tracked : trackedEndpoints.values()) {
            if (tracked.isHeld() && tracked.heldUntilMicros <= nowMicros) {
                tracked.putIntoService();
                entries.add(tracked.listing);
            }
        }
        return entries.isEmpty() ? null : new ListUpdate(EndpointListKind.DELTA, revision, entries);
    }

    /** Returns true if an endpoint is listed as in service and not held back. */
    boolean isInService(String id) {
        TrackedEndpoint tracked = trackedEndpoints.get(id);
        return tracked != null && tracked.isInService && tracked.listing.isInService();
    }
}
