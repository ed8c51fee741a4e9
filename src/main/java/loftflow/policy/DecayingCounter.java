package loftflow.policy;

/** A count of events that fades with time. */
final class DecayingCounter {
    double count;
    long at;
    /** When the first was counted; 0 where none was. */
    long since;
}
