/** The caller API over HTTP. */
package org.hibiscusreel.daemon.caller;
