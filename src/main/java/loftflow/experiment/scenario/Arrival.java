package loftflow.experiment.scenario;

/**
 * A message that a program hands in.
 *
 * @param at microseconds from the beginning
 * @param type the number of its class, and so on; {@code tenant} is -1 where there is none
 */
public record Arrival(long at, int type, int tenant, int partner, int relay) {}
