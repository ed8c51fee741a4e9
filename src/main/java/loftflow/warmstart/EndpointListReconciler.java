package loftflow.warmstart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.EndpointListKind;

/**
 * Decides which parts of a discovery list are accepted, and when. What an entry takes out of service is accepted at
 * once. Only what a list puts back into service, or leaves out, can be in doubt.
 *
 * <ul>
 * <li>An empty list, or one that leaves out nine of ten endpoints (of {@value #MIN_ENDPOINTS_FOR_LOSS_CHECK} or more):
 * the endpoints that it leaves out stay until discovery has sent such lists for the settle time.
 * <li>A list with an older revision: it takes endpoints out of service and confirms others. What it adds or leaves out
 * is accepted after the settle time, since discovery may have restarted its count.
 * <li>A new id at the address of another endpoint: the other one is removed, even where the list does not name it.
 * <li>An endpoint that returns for the {@value #FLAP_RETURNS}rd time within a minute is held back until it has been
 * listed for ten seconds; the hold doubles with each further return, up to five minutes.
 * </ul>
 *
 * <p>Not thread-safe. Times are in microseconds.
 */
public final class EndpointListReconciler {
    /** Stands for a time that never comes. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Returns within {@link #FLAP_WINDOW_MICROS} from which an endpoint counts as flapping. */
    static final int FLAP_RETURNS = 3;
    /** A fleet with fewer endpoints than this may lose most of them in one list. */
    static final int MIN_ENDPOINTS_FOR_LOSS_CHECK = 10;

    private static final double DOUBTFUL_LOSS_RATIO = 0.9;
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long FLAP_WINDOW_MICROS = 60 * MICROS_PER_SECOND;
    private static final long FIRST_HOLD_MICROS = 10 * MICROS_PER_SECOND;
    private static final long MAX_HOLD_MICROS = 300 * MICROS_PER_SECOND;
    private static final int MAX_HOLD_DOUBLINGS = 10;

    /**
     * The outcome for one list.
     *
     * @param accepted what is accepted of it; null for nothing
     * @param logLines lines to log
     * @param refreshAtMicros when the full list is to be requested again; {@link #NEVER} for not at all
     */
    public record Result(ListUpdate accepted, List<String> logLines, long refreshAtMicros) {}

    private static final class Member {
        ListedEndpoint listing;
        boolean isInService;
        int returns;
        long firstReturnMicros;
        /** End of the hold of a flapping endpoint; 0 where it is not held back. */
        long heldUntilMicros;

        Member(ListedEndpoint listing) {
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
    private final Map<String, Member> members = new LinkedHashMap<>();
    private long revision;
    private long doubtedSinceMicros = NEVER;

    /**
     * Starts from the endpoints that are in service.
     *
     * @param settleMicros microseconds after which a doubtful list is accepted; 0 accepts every list at once
     * @param revision revision of the list that the endpoints come from; -1 where it is not known
     */
    public EndpointListReconciler(long settleMicros, long revision, List<ListedEndpoint> inService) {
        this.settleMicros = settleMicros;
        this.revision = revision;
        inService.forEach(listing -> members.put(listing.id(), new Member(listing)));
    }

    /** Another discovery agent sends the lists from now on; its revisions are not comparable with the earlier ones. */
    public void resetRevision() {
        revision = -1;
        doubtedSinceMicros = NEVER;
    }

    private boolean isDoubtEnabled() {
        return settleMicros > 0;
    }

    private boolean isBehind(ListUpdate list) {
        return isDoubtEnabled() && list.revision() < revision;
    }

    /** Reconciles a list with what is known. */
    public Result reconcile(ListUpdate list, long nowMicros) {
        return list.kind() == EndpointListKind.DELTA ? reconcileDelta(list, nowMicros) : reconcileFull(list, nowMicros);
    }

    private Result reconcileDelta(ListUpdate list, long nowMicros) {
        List<String> logLines = new ArrayList<>();
        boolean isBehind = isBehind(list);
        List<ListedEndpoint> entries = acceptEntries(list, nowMicros, isBehind, logLines);
        revision = Math.max(revision, list.revision());
        return deltaResult(list.revision(), entries, logLines, isBehind ? nowMicros : NEVER);
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
                List<ListedEndpoint> entries = acceptEntries(list, nowMicros, isBehind(list), logLines);
                return deltaResult(list.revision(), entries, logLines, doubtedSinceMicros + settleMicros);
            }
            logLines.add("warmstart: doubtful discovery list accepted " + doubt);
        }
        doubtedSinceMicros = NEVER;
        revision = list.revision();
        List<ListedEndpoint> entries = acceptEntries(list, nowMicros, false, logLines);
        Set<String> namedIds = idsOf(list);
        members.values().stream()
                .filter(member -> !namedIds.contains(member.listing.id()))
                .forEach(Member::takeOutOfService);
        forgetOldMembers(nowMicros);
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

    /** Why a full list is in doubt, as keys and values for the log; null where it is not. */
    private String doubtOf(ListUpdate list) {
        if (!isDoubtEnabled()) {
            return null;
        }
        return isBehind(list)
                ? "reason=older-revision revision=" + list.revision() + " known=" + revision
                : doubtfulLossOf(list);
    }

    /**
     * Counts only endpoints that the list does not name: an entry that takes its endpoint out of service is no loss.
     */
    private String doubtfulLossOf(ListUpdate list) {
        Set<String> namedIds = idsOf(list);
        long inService =
                members.values().stream().filter(member -> member.isInService).count();
        long missing = members.values().stream()
                .filter(member -> member.isInService && !namedIds.contains(member.listing.id()))
                .count();
        boolean isMost = inService >= MIN_ENDPOINTS_FOR_LOSS_CHECK && missing >= DOUBTFUL_LOSS_RATIO * inService;
        boolean isDoubtful = missing > 0 && namedIds.isEmpty() || isMost;
        return isDoubtful ? "reason=endpoints-missing missing=" + missing + " known=" + inService : null;
    }

    /** The accepted entries; of a list with an older revision, only those that remove or confirm an endpoint. */
    private List<ListedEndpoint> acceptEntries(
            ListUpdate list, long nowMicros, boolean isBehind, List<String> logLines) {
        List<ListedEndpoint> accepted = new ArrayList<>();
        Set<String> namedIds = idsOf(list);
        for (ListedEndpoint entry : list.entries()) {
            Member member = members.get(entry.id());
            if (!entry.isInService()) {
                if (member != null) {
                    member.listing = entry;
                    member.takeOutOfService();
                }
                accepted.add(entry);
            } else if (!isBehind || member != null && member.isInService) {
                removeOthersAtAddress(entry, namedIds, accepted, logLines);
                if (acceptListed(entry, member, nowMicros, logLines)) {
                    accepted.add(entry);
                }
            }
        }
        return accepted;
    }

    private void removeOthersAtAddress(
            ListedEndpoint entry, Set<String> namedIds, List<ListedEndpoint> accepted, List<String> logLines) {
        for (Member other : members.values()) {
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

    /** Records an entry that is in service; false where the endpoint is held back for flapping. */
    private boolean acceptListed(ListedEndpoint entry, Member known, long nowMicros, List<String> logLines) {
        if (known == null) {
            members.put(entry.id(), new Member(entry));
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
        if (isDoubtEnabled() && known.returns >= FLAP_RETURNS) {
            hold(known, nowMicros, logLines);
            return false;
        }
        known.putIntoService();
        return true;
    }

    private static void hold(Member member, long nowMicros, List<String> logLines) {
        int doublings = Math.min(MAX_HOLD_DOUBLINGS, member.returns - FLAP_RETURNS);
        long holdMicros = Math.min(MAX_HOLD_MICROS, FIRST_HOLD_MICROS << doublings);
        member.heldUntilMicros = nowMicros + holdMicros;
        // The window starts at the end of the hold, so that a hold longer than the window does not reset the count.
        member.firstReturnMicros = member.heldUntilMicros;
        logLines.add("warmstart: flapping endpoint held back endpoint=" + member.listing.id() + " returns="
                + member.returns + " holdSeconds=" + holdMicros / MICROS_PER_SECOND);
    }

    /**
     * Evicts members that have long been out of service, so that the map does not grow with every endpoint ever seen.
     */
    private void forgetOldMembers(long nowMicros) {
        members.values()
                .removeIf(member -> !member.isInService
                        && !member.isHeld()
                        && nowMicros - member.firstReturnMicros > MAX_HOLD_MICROS);
    }

    /** When the next hold ends; {@link #NEVER} where no endpoint is held back. */
    public long nextReleaseMicros() {
        return members.values().stream()
                .filter(Member::isHeld)
                .mapToLong(member -> member.heldUntilMicros)
                .min()
                .orElse(NEVER);
    }

    /** Puts endpoints whose hold has ended into service; null where there is none. */
    public ListUpdate releaseDue(long nowMicros) {
        List<ListedEndpoint> entries = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.isHeld() && member.heldUntilMicros <= nowMicros) {
                member.putIntoService();
                entries.add(member.listing);
            }
        }
        return entries.isEmpty() ? null : new ListUpdate(EndpointListKind.DELTA, revision, entries);
    }

    /** True where an endpoint is listed as in service and not held back. */
    boolean isInService(String id) {
        Member member = members.get(id);
        return member != null && member.isInService && member.listing.isInService();
    }
}
