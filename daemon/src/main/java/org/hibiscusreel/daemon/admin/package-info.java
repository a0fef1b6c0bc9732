/** Administrative HTTP service and the time line of the process. */
package org.hibiscusreel.daemon.admin;
