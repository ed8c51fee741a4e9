/**
 * Experiments with scenarios: runs them in the emulator or on loopback, compares sides, searches a capacity, and
 * minimizes scenarios that violate a rule.
 *
 * <p>May use: {@code experiment..}, {@code policy}, {@code policy.api}, {@code engine}, {@code config.file},
 * {@code fake}.
 */
package loftflow.experiment;
