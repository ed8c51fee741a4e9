/**
 * What a relay is configured with at its start, validated where it enters.
 *
 * <p>May use: the policy's types, {@code settings}, {@code protocol}, {@code json}, {@code Endpoint} and the reading of
 * lists; files, but no network.
 */
package loftflow.config;
