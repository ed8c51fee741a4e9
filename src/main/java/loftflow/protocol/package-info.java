/**
 * The names of the protocols that a relay speaks with clients, hosts and the platform, each protocol's in one class.
 * They are fixed by the given pages; nothing else spells them. The types that use them map them to the terms of the
 * code.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.protocol;
