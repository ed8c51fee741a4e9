package pipitstage.engine;

/** The port through which ends other than delivery are told; each is told until it has been heard. */
public interface Ends {
    /** Tells how a message ended; {@link Engine#noticeHeard} is called once that is known to have been heard. */
    void send(Message message);
}
