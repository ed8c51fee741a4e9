/**
 * What a request over HTTP is to the relay, whichever version carries it: the message in its headers and body, what is
 * refused at its head, and the table of answers.
 *
 * <p>May use: the engine's port for messages, names of headers and Netty's status codes.
 */
package loftflow.listener.request;
