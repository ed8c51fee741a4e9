/**
 * Entries in an SQLite database that ordinary tools can open, on a thread of its own.
 *
 * <p>May use: {@code deadletter}, the engine's {@code Message}, the log, and SQLite's driver.
 */
package loftflow.deadletter.store;
