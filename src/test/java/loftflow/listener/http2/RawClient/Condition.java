package loftflow.listener.http2.RawClient;

/** The condition that a caller waits for. */
public interface Condition {
    boolean isMet();
}
