/** Adapter of model engines: streams with offsets over server-sent events. */
package org.hibiscusreel.daemon.engine;
