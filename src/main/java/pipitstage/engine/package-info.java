/**
 * The heart of the relay: the table of messages, the rounds in which the decision module acts, and the ports
 * through which all else meets it ({@link pipitstage.engine.Intake} for fronts, {@link pipitstage.engine.Partners}
 * for what calls partners, {@link pipitstage.engine.WriteAhead}, {@link pipitstage.engine.Ends},
 * {@link pipitstage.engine.Membership}, {@link pipitstage.engine.Timers}).
 *
 * <p>May use: the decision module and the log; no Netty, no files, no sockets, no threads.
 */
package pipitstage.engine;
