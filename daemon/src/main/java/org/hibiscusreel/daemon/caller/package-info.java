/** HTTP server of the caller API. */
package org.hibiscusreel.daemon.caller;
