/**
 * A seeded soak test: one relay process is restarted repeatedly under load from clients, while upstreams and discovery
 * fail. The observations are checked against the rules of the protocol.
 */
package loftflow.soak;
