/**
 * Persistence of warm start: snapshot files of two generations, each with a delta file, and the writer that keeps them
 * within a byte budget.
 *
 * <p>May use: {@code warmstart}, {@code clock}, {@code recordfile}, the types of the decision module, {@code log}.
 */
package loftflow.warmstart.store;
