package loftflow.experiment;

import loftflow.experiment.loopback.LoopbackRun;

/** The evaluation of a run on loopback, with the lateness of its messages and the CPU time of the relays. */
public record LoopbackResult(RunResult result, LoopbackRun.Outcome outcome) {}
