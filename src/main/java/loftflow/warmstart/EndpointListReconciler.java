package loftflow.warmstart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loftflow.policy.api.Availability;
import loftflow.policy.api.EndpointListKind;

/**
 * What of discovery's lists is believed, and when. Whatever an entry takes away is believed at once; what is in doubt
 * is
 * only what a list gives back, or leaves out without a word.
 *
 * <ul>
 * <li>An empty list, and one that leaves out nine of ten endpoints (of {@value #FEWEST} or more): what it leaves out
 * stays
 * until discovery has told the like for the settling time.
 * <li>A list whose revision is behind: it may take away, and confirm; what it lists beyond, or leaves out, counts after
 * the settling time, as a discovery that counts anew.
 * <li>A new id at the address of another: the other one is gone, also where no word is said of it.
 * <li>An endpoint that comes back for the {@value #FLAPS}rd time within a minute is held back until it has been listed
 * for
 * ten seconds, twice as long with each time more, five minutes at the most.
 * </ul>
 */
public final class EndpointListReconciler {
    /** In place of a time: there is nothing to wait for. */
    public static final long NEVER = Long.MAX_VALUE;

    static final int FLAPS = 3;
    static final int FEWEST = 10;
    private static final double MOST_LOST = 0.9;
    private static final long SECOND = 1_000_000;
    private static final long FLAP_SPAN = 60 * SECOND;
    private static final long HOLD = 10 * SECOND;
    private static final long LONGEST_HOLD = 300 * SECOND;

    /**
     * What becomes of a list.
     *
     * @param passOn what is believed of it; null where that is nothing
     * @param log lines for staff
     * @param askAt when the whole list is to be asked for again; {@link #NEVER} for not at all
     */
    public record Verdict(ListUpdate passOn, List<String> log, long askAt) {}

    private static final class Member {
        ListedEndpoint listing;
        boolean in;
        int returns;
        long returnsSince;
        /** Listed again, but held back until then; 0 for not held. */
        long heldUntil;

        Member(ListedEndpoint listing) {
            this.listing = listing;
        }
    }

    private final long settle;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private long revision;
    private long doubtedSince = NEVER;

    /**
     * Lists that go on from what is believed at the start.
     *
     * @param settle microseconds after which a list in doubt is believed; 0 where none is doubted
     * @param revision -1 where none is known
     */
    public EndpointListReconciler(long settle, long revision, List<ListedEndpoint> believed) {
        this.settle = settle;
        this.revision = revision;
        for (ListedEndpoint listing : believed) {
            Member member = new Member(listing);
            member.in = true;
            members.put(listing.id(), member);
        }
    }

    /** Another discovery tells from now on: its revisions need not be those of the old one. */
    public void moved() {
        revision = -1;
        doubtedSince = NEVER;
    }

    /** False where discovery's word holds, whatever it tells. */
    private boolean doubts() {
        return settle > 0;
    }

    /** Takes a list in. */
    public Verdict take(ListUpdate told, long now) {
        List<String> log = new ArrayList<>();
        boolean behind = doubts() && told.revision() < revision;
        if (told.kind() == EndpointListKind.DELTA) {
            ListUpdate passOn = new ListUpdate(EndpointListKind.DELTA, told.revision(), each(told, now, behind, log));
            revision = Math.max(revision, told.revision());
            return verdict(passOn, log, behind ? now : NEVER);
        }
        String doubt = !doubts()
                ? null
                : behind ? "its revision went back from " + revision + " to " + told.revision() : lost(told);
        if (doubt == null) {
            doubtedSince = NEVER;
        } else {
            if (doubtedSince == NEVER) {
                doubtedSince = now;
                log.add("discovery's list is in doubt, what it leaves out stays for now: " + doubt);
            }
            if (now - doubtedSince < settle) {
                List<ListedEndpoint> entries = each(told, now, behind, log);
                return verdict(
                        new ListUpdate(EndpointListKind.DELTA, told.revision(), entries), log, doubtedSince + settle);
            }
            log.add("discovery has told the like for long enough, and is believed: " + doubt);
            doubtedSince = NEVER;
        }
        revision = told.revision();
        List<ListedEndpoint> entries = each(told, now, false, log);
        Set<String> named = new HashSet<>();
        told.entries().forEach(e -> named.add(e.id()));
        members.values().stream().filter(m -> !named.contains(m.listing.id())).forEach(this::out);
        forget(now);
        return verdict(new ListUpdate(EndpointListKind.FULL, told.revision(), entries), log, NEVER);
    }

    private static Verdict verdict(ListUpdate passOn, List<String> log, long askAt) {
        boolean nothing =
                passOn.kind() == EndpointListKind.DELTA && passOn.entries().isEmpty();
        return new Verdict(nothing ? null : passOn, log, askAt);
    }

    /** Why a list leaves out too much to be believed; null where it does not. */
    private String lost(ListUpdate told) {
        Set<String> listed = new HashSet<>();
        // An entry that says so itself takes away with a word.
        told.entries().forEach(e -> listed.add(e.id()));
        long in = members.values().stream().filter(m -> m.in).count();
        long missing = members.values().stream()
                .filter(m -> m.in && !listed.contains(m.listing.id()))
                .count();
        boolean most = in >= FEWEST && missing >= MOST_LOST * in;
        return missing > 0 && listed.isEmpty() || most ? "it leaves out " + missing + " of " + in + " endpoints" : null;
    }

    /** What is believed of each entry; of a list whose revision is behind, only what takes away or confirms. */
    private List<ListedEndpoint> each(ListUpdate told, long now, boolean behind, List<String> log) {
        List<ListedEndpoint> believed = new ArrayList<>();
        Set<String> named = new HashSet<>();
        told.entries().forEach(e -> named.add(e.id()));
        for (ListedEndpoint entry : told.entries()) {
            Member member = members.get(entry.id());
            if (!entry.inService()) {
                if (member != null) {
                    member.listing = entry;
                    out(member);
                }
                believed.add(entry);
            } else if (!behind || member != null && member.in) {
                supplant(entry, named, believed, log);
                if (comesIn(entry, member, now, log)) {
                    believed.add(entry);
                }
            }
        }
        return believed;
    }

    /** Guards against calls to an id whose address is another's now. */
    private void supplant(ListedEndpoint entry, Set<String> named, List<ListedEndpoint> believed, List<String> log) {
        for (Member other : members.values()) {
            if (other.in && other.listing.address().equals(entry.address()) && !named.contains(other.listing.id())) {
                log.add("discovery: " + entry.address() + " is " + entry.id() + " now, " + other.listing.id()
                        + " is gone");
                out(other);
                believed.add(other.listing.gone());
            }
        }
    }

    private boolean comesIn(ListedEndpoint entry, Member known, long now, List<String> log) {
        if (known == null) {
            Member member = new Member(entry);
            member.in = true;
            members.put(entry.id(), member);
            return true;
        }
        known.listing = entry;
        if (known.in) {
            return true;
        }
        if (known.heldUntil > 0) {
            return false;
        }
        if (now - known.returnsSince > FLAP_SPAN) {
            known.returns = 0;
            known.returnsSince = now;
        }
        known.returns++;
        if (doubts() && known.returns >= FLAPS) {
            long hold = Math.min(LONGEST_HOLD, HOLD << Math.min(10, known.returns - FLAPS));
            known.heldUntil = now + hold;
            // Guards against the count being forgotten while the endpoint is held for longer than the span.
            known.returnsSince = known.heldUntil;
            log.add("discovery: " + entry.id() + " has come back " + known.returns
                    + " times in a minute, and is held back" + " for " + hold / SECOND + " s");
            return false;
        }
        known.in = true;
        return true;
    }

    private void out(Member member) {
        member.in = false;
        member.heldUntil = 0;
    }

    /** Guards against a memory that grows with every endpoint that ever was. */
    private void forget(long now) {
        members.values().removeIf(m -> !m.in && m.heldUntil == 0 && now - m.returnsSince > LONGEST_HOLD);
    }

    /** When the next endpoint that is held back comes in; {@link #NEVER} where none is. */
    public long nextAt() {
        return members.values().stream()
                .filter(m -> m.heldUntil > 0)
                .mapToLong(m -> m.heldUntil)
                .min()
                .orElse(NEVER);
    }

    /** What was held back and has been listed for long enough; null where that is nothing. */
    public ListUpdate due(long now) {
        List<ListedEndpoint> entries = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.heldUntil > 0 && member.heldUntil <= now) {
                member.heldUntil = 0;
                member.in = true;
                entries.add(member.listing);
            }
        }
        return entries.isEmpty() ? null : new ListUpdate(EndpointListKind.DELTA, revision, entries);
    }

    /** True where an endpoint is believed to be in service. */
    public boolean has(String id) {
        Member member = members.get(id);
        return member != null && member.in && member.listing.listed().availability() == Availability.LISTED;
    }
}
