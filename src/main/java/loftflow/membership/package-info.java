/**
 * What a relay remembers of discovery's endpoint lists across its restarts.
 *
 * <p>May use: the engine, the policy's types, {@code recordfile} and the log; files, but no network.
 */
package loftflow.membership;
