/**
 * Partners over HTTP/1.1: pools of connections, calls and the table of outcomes, behind
 * {@link pipitstage.engine.Partners}. Resends nothing.
 *
 * <p>May use: the engine, names of headers, the log, Netty and Jackson; nothing of fronts, journal or platform.
 */
package pipitstage.partner.http;
