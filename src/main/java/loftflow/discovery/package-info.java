/**
 * Discovery's list of endpoints and the watch on its changes, and the connection to the agent that serves them.
 *
 * <p>May use: the engine, the policy's types, {@code protocol}, {@code json}, the parts of HTTP/1.1 that connections
 * share, the log, Netty and Jackson.
 */
package loftflow.discovery;
