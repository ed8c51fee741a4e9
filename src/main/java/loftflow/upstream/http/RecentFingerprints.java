package loftflow.upstream.http;

import java.util.Arrays;

/** A bounded number of fingerprints, of which the oldest is replaced. They take eight bytes each. Not thread-safe. */
final class RecentFingerprints {
    private static final int INITIAL_CAPACITY = 8;

    private final int maxCount;
    private long[] fingerprints = new long[INITIAL_CAPACITY];
    private int count;
    private int oldest;

    /** Creates a collection of at most so many fingerprints. */
    RecentFingerprints(int maxCount) {
        this.maxCount = maxCount;
    }

    boolean isEmpty() {
        return count == 0;
    }

    boolean contains(long fingerprint) {
        for (int i = 0; i < count; i++) {
            if (fingerprints[i] == fingerprint) {
                return true;
            }
        }
        return false;
    }

    /** Adds a fingerprint; returns false if it was contained. */
    boolean add(long fingerprint) {
        if (contains(fingerprint)) {
            return false;
        }
        if (count == maxCount) {
            fingerprints[oldest] = fingerprint;
            oldest = (oldest + 1) % maxCount;
            return true;
        }
        if (count == fingerprints.length) {
            fingerprints = Arrays.copyOf(fingerprints, Math.min(maxCount, 2 * count));
        }
        fingerprints[count] = fingerprint;
        count++;
        return true;
    }
}
