/**
 * Every setting there is, and the reading of files by it: the single source of checks, explanations and reference.
 *
 * <p>May use: {@code config.file}. No I/O of its own.
 */
package loftflow.config.schema;
