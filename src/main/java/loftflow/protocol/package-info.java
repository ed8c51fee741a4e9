/**
 * The names in the protocols between relays and clients, hosts and the platform, with one class per protocol. They are
 * fixed by the specifications of the protocols. Other classes use the constants, which are named in this project's
 * terms, and never repeat the names.
 *
 * <p>May use: nothing of the relay.
 */
package loftflow.protocol;
