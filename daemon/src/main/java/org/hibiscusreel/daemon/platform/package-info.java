/** Adapters of the platform's services and of plain services over HTTP. */
package org.hibiscusreel.daemon.platform;
