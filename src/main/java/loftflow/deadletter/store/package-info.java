/**
 * Dead letters in an SQLite database that standard tools can open, accessed on a thread of its own.
 *
 * <p>May use: {@code deadletter}, the engine's {@code Message}, the log, and SQLite's driver.
 */
package loftflow.deadletter.store;
