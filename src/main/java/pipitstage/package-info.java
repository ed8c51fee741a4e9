/**
 * The decision module ({@link pipitstage.Logic}, {@link pipitstage.Policy}, {@code State}) and the simulator's host
 * and wire.
 *
 * <p>May use: Jackson, for the wire. The module itself uses nothing but itself: no socket, file, clock or thread.
 */
package pipitstage;
