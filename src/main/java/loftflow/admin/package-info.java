/**
 * The admin socket: a UNIX domain socket in the state folder that accepts operators' commands to a running relay. A
 * request is a JSON object on a single line, {@code {"command":"list", ...}}, whose members are strings. The response
 * consists of lines of JSON, and the relay closes the connection after it. A line {@code {"error":"..."}} is always the
 * last one.
 *
 * <p>May use: {@code deadletter} and its store, the engine's {@code Clock}, the log, Jackson; no Netty but an
 * {@code Executor} for the event loop.
 */
package loftflow.admin;
