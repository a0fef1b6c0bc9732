/** Failure detection and dissemination among the daemons, without I/O. */
package org.hibiscusreel.core.membership;
