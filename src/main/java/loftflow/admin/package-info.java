/**
 * The admin socket: a UNIX-domain socket in the folder that lasts, where commands ask a running relay. A request is
 * one line of JSON, {@code {"command":"list", ...}} with text values alone; the answer is lines of JSON, and the
 * end of the connection ends it. A line {@code {"error":"..."}} is the last one.
 *
 * <p>May use: {@code deadletter} and its store, the engine's {@code Clock}, the log, Jackson; no Netty but an
 * {@code Executor} for the event loop.
 */
package loftflow.admin;
