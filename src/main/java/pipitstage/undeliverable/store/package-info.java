/**
 * Entries in an SQLite database that ordinary tools can open, on a thread of its own.
 *
 * <p>May use: {@code undeliverable}, the engine's {@code Message}, the log, and SQLite's driver.
 */
package pipitstage.undeliverable.store;
