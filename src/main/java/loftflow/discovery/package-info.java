/**
 * The client of the discovery service: endpoint lists, the watch for their changes, and the connection to the agent.
 *
 * <p>May use: the engine, the policy's types, {@code protocol}, {@code json}, the parts of HTTP/1.1 that connections
 * share, the log, Netty and Jackson.
 */
package loftflow.discovery;
