/**
 * The laboratory: plays scenarios, compares sides, searches a capacity, shrinks what breaks a rule.
 *
 * <p>May use: {@code experiment..}, {@code policy.api}, {@code engine}, {@code config.file}, {@code fake}.
 */
package loftflow.experiment;
