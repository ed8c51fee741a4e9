/**
 * Reads the settings that a relay receives from the simulator or in the platform's configuration.
 *
 * <p>May use: {@code policy.api}, {@code protocol} and {@code json}.
 */
package loftflow.settings;
