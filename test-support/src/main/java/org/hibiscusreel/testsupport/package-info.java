/** Clients that don't keep to the protocol, and measurements of the process that they call. */
package org.hibiscusreel.testsupport;
