/** HTTP clients for the services of the platform. */
package org.hibiscusreel.ctl.platform;
