/**
 * Limits on the memory that peers make the relay hold. {@link loftflow.memory.MemoryLimits} divides the heap of the
 * process among the kinds of peers; a {@link loftflow.memory.MemoryBudget} is the part of one kind, from which its
 * connections and messages reserve what they hold.
 *
 * <p>May use: nothing else.
 */
package loftflow.memory;
