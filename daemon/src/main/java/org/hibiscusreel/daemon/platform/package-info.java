/** HTTP clients for the platform's services and for plain services. */
package org.hibiscusreel.daemon.platform;
