package loftflow.listener.connection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The connections of a front, within a bound: a full house lets go of the longest silent one, then of the longest idle
 * one.
 *
 * @param <C> a connection
 */
public final class ConnectionLimiter<C> {
    private final int most;
    private final Consumer<C> takeIn;
    private final Consumer<C> close;
    private final Set<C> all = new HashSet<>();
    /** Connections that have sent nothing yet, and those that are idle since their last answer, oldest first. */
    private final Set<C> silent = new LinkedHashSet<>();

    private final Set<C> idle = new LinkedHashSet<>();

    /**
     * A house for so many connections.
     *
     * @param takeIn reads what has come on one and is not read yet
     * @param close closes one
     */
    public ConnectionLimiter(int most, Consumer<C> takeIn, Consumer<C> close) {
        this.most = most;
        this.takeIn = takeIn;
        this.close = close;
    }

    /** Guards against clients that take every descriptor: the ones that have stood longest go first. */
    public void opened(C connection) {
        if (all.size() >= most) {
            letGo();
        }
        if (all.size() >= most) {
            close.accept(connection);
            return;
        }
        all.add(connection);
        silent.add(connection);
    }

    /** Closes the one that has stood longest, if any stands. */
    private void letGo() {
        for (C longest : standing()) {
            // Guards against a request that lies unread: it would end with no answer.
            takeIn.accept(longest);
            if (all.size() < most) {
                return;
            }
            if (stoodLongest(longest)) {
                // Guards against a house that fills further: its end is told later, and others come in the same pass.
                closed(longest);
                close.accept(longest);
                return;
            }
        }
    }

    /** False for one that has begun a request, and for one that was answered at once and stands anew. */
    private boolean stoodLongest(C connection) {
        Set<C> standing = silent.isEmpty() ? idle : silent;
        return !standing.isEmpty() && standing.iterator().next().equals(connection);
    }

    /** It has begun a request. */
    public void began(C connection) {
        silent.remove(connection);
        idle.remove(connection);
    }

    /** It has its last answer, and nothing is begun. */
    public void fellIdle(C connection) {
        // Guards against one that was let go and has its last answer only then.
        if (all.contains(connection)) {
            idle.add(connection);
        }
    }

    /** It is gone. */
    public void closed(C connection) {
        all.remove(connection);
        silent.remove(connection);
        idle.remove(connection);
    }

    /** Those that wait for nothing. */
    public List<C> standing() {
        List<C> standing = new ArrayList<>(silent);
        standing.addAll(idle);
        return standing;
    }

    /** True where nothing is begun but on connections of which something else is known. */
    public boolean isIdle(Predicate<C> over) {
        return all.stream().allMatch(c -> silent.contains(c) || idle.contains(c) || over.test(c));
    }

    /** The connections, in no order. */
    public List<C> all() {
        return List.copyOf(all);
    }

    /** How many there are. */
    public int size() {
        return all.size();
    }
}
