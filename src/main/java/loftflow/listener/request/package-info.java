/**
 * Requests of clients over HTTP, independent of the version: parsing a message from headers and body, and the
 * responses.
 *
 * <p>May use: the engine's port for messages, {@code protocol} and Netty's status codes.
 */
package loftflow.listener.request;
