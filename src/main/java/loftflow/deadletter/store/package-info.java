/**
 * Storage of dead letters in an SQLite database, which standard tools can open. A dedicated thread accesses it.
 *
 * <p>May use: {@code deadletter}, the engine's {@code Message}, the log, and SQLite's driver.
 */
package loftflow.deadletter.store;
