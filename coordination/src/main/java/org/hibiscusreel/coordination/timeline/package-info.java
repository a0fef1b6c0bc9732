/** Records events and time-stamps messages with the hybrid logical clock of the process. */
package org.hibiscusreel.coordination.timeline;
