package loftflow.trace;

/**
 * A row that asks for something, whatever the trace calls it.
 *
 * @param line where it begins, from 1, over all files of a trace
 * @param time microseconds by the trace's own clock
 * @param owner who asked: a user, a subscription; never empty
 * @param flow what rows that belong together share: a job, a deployment, an application; never empty
 * @param sort what sort of work it is by the trace's word: a scheduling class, a type, a category; may be empty
 * @param weight how much was asked for beside other rows of the trace: cores, instances, seconds; 0 where untold
 */
public record Row(long line, long time, String owner, String flow, String sort, double weight) {}
