/**
 * What all that speak HTTP/1.1 share: names, the timer of a connection, and what lies unread on one.
 *
 * <p>May use: Netty.
 */
package loftflow.http;
