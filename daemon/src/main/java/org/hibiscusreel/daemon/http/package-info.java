/**
 * HTTP client and connection tracking on ActiveJ. The client distinguishes calls that were
 * certainly not sent from calls with an unknown outcome.
 */
package org.hibiscusreel.daemon.http;
