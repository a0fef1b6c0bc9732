/** Client of the platform over HTTP. */
package org.hibiscusreel.ctl.platform;
