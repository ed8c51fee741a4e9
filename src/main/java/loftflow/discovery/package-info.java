/**
 * Discovery's list and watch, and notices of ends: what the platform's agent tells and is told.
 *
 * <p>May use: the engine, {@code recordfile}, what speakers of HTTP/1.1 share, the log, Netty and Jackson.
 */
package loftflow.discovery;
