/**
 * Names that both sides of HTTP/1.1 share.
 *
 * <p>May use: nothing.
 */
package pipitstage.http;
