/** HTTP server for administration and the timeline of events. */
package org.hibiscusreel.daemon.admin;
