/**
 * The admin socket: a UNIX-domain socket in the state folder, over which commands reach a running relay. A request is
 * one line with a JSON object, {@code {"command":"list", ...}}, whose members are strings; the response is lines of
 * JSON and ends with the connection. A line {@code {"error":"..."}} is the last one.
 *
 * <p>May use: {@code deadletter} and its store, the engine's {@code Clock}, the log, Jackson; no Netty but an
 * {@code Executor} for the event loop.
 */
package loftflow.admin;
