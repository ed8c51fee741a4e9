/**
 * Public cluster traces: what a row means in each published form, which rows are none, and in which order they arrive.
 * It
 * decides, and reaches no file, clock or thread.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.trace;
