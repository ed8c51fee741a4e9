/**
 * A seeded soak: one relay process is restarted again and again while clients, upstreams and discovery go on and fail. What
 * they saw is checked by the rules of the protocol.
 */
package loftflow.soak;
