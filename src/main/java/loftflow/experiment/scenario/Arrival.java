package loftflow.experiment.scenario;

/**
 * A message that a client submits.
 *
 * @param atMicros time since the start of the run
 * @param classIndex index of its message class in the scenario
 * @param tenant index of its tenant; -1 for none
 * @param partner number of the partner that it is for
 * @param relay number of the relay that it is submitted to
 */
public record Arrival(long atMicros, int classIndex, int tenant, int partner, int relay) {}
