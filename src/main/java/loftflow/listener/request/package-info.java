/**
 * Requests and responses of HTTP clients, independent of the HTTP version, and the parsing of messages from headers and
 * body.
 *
 * <p>May use: the engine's port for messages, {@code protocol} and Netty's status codes.
 */
package loftflow.listener.request;
