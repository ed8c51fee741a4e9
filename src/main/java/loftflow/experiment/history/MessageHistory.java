package loftflow.experiment.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Something that a client wants delivered, with all that became of it: its first try and the repeats after refusals.
 * Times
 * are in microseconds from the beginning of the run; -1 for never.
 */
public final class MessageHistory {
    /** What a client was told; {@code CUT} where its connection broke before an answer, so that it knows nothing. */
    public enum Told {
        NOTHING,
        TAKEN,
        REFUSED,
        FAILED,
        CUT
    }

    /** How a partner answered a posting; {@code NONE} where no answer was sent, or it was lost. */
    public enum Answer {
        NONE,
        DONE,
        FAULT,
        FULL,
        UNREACHED
    }

    /**
     * A call that carried it.
     *
     * @param sent by the relay
     * @param came at the endpoint; -1 where it never did
     * @param ran whether it was run there, whatever was answered; a repeat that was dropped by its key has not run
     */
    public record Posting(int relay, int endpoint, long sent, long came, boolean ran, Answer answer) {}

    private final int type;
    private final int tenant;
    private final int partner;
    private final int relay;
    private final long at;
    private final long due;
    private final List<Posting> postings = new ArrayList<>(2);
    private int tries;
    private long lastTry;
    private long end = -1;
    private Told told = Told.NOTHING;
    private long done = -1;

    /**
     * One that is handed in for the first time.
     *
     * @param type the number of its class, and so on
     * @param tenant -1 for none
     * @param due when its time is up
     */
    public MessageHistory(int type, int tenant, int partner, int relay, long at, long due) {
        this.type = type;
        this.tenant = tenant;
        this.partner = partner;
        this.relay = relay;
        this.at = at;
        this.due = due;
    }

    public int type() {
        return type;
    }

    public int tenant() {
        return tenant;
    }

    public int partner() {
        return partner;
    }

    public int relay() {
        return relay;
    }

    /** When it was handed in first. */
    public long at() {
        return at;
    }

    /** When the time of its last try is up. */
    public long due() {
        return due + (tries > 1 ? lastTry - at : 0);
    }

    /** It is handed in, for the first time or again. */
    public void tried(long now) {
        tries++;
        lastTry = now;
        told = Told.NOTHING;
        end = -1;
    }

    /** How often it was handed in. */
    public int tries() {
        return tries;
    }

    /** Its client was told that it is taken on. */
    public void taken() {
        told = Told.TAKEN;
    }

    /** It was told as refused or failed, to its client or later. */
    public void ended(long now, Told how) {
        end = now;
        told = how;
    }

    /** The connection to its client broke before an answer. */
    public void cut() {
        told = Told.CUT;
    }

    /** When the end of its last try was told; -1 where none was. */
    public long endedAt() {
        return end;
    }

    /** The last that was told of it. */
    public Told told() {
        return told;
    }

    public void posted(Posting posting) {
        postings.add(posting);
    }

    /** Every call that carried it, in the order in which they came to their end. */
    public List<Posting> postings() {
        return postings;
    }

    /** A partner has answered that it is done. */
    public void answeredDone(long now) {
        if (done < 0) {
            done = now;
        }
    }

    /** When the first such answer was sent; -1 where none was. */
    public long doneAt() {
        return done;
    }

    /** True where it counts as delivered: a partner said so in time, and its client was told nothing else. */
    public boolean isDelivered() {
        return done >= 0 && told != Told.REFUSED && told != Told.FAILED && done <= due();
    }
}
