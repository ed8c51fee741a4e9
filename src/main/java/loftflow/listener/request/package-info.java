/**
 * Requests of clients over HTTP, independent of the version: parsing a message from headers and body, the responses,
 * and the names of the client protocol in {@code ClientProtocol}.
 *
 * <p>May use: the engine's port for messages, header names and Netty's status codes.
 */
package loftflow.listener.request;
