/**
 * The settings that the platform gives a relay, as the simulator's wire and the platform's configuration spell them.
 *
 * <p>May use: {@code policy.api}, {@code protocol} and {@code json}.
 */
package loftflow.settings;
