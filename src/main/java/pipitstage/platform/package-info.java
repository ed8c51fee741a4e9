/**
 * Discovery's list and watch, and notices of ends: what the platform's agent tells and is told.
 *
 * <p>May use: the engine, {@code records}, the log, Netty and Jackson.
 */
package pipitstage.platform;
