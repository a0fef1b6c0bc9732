/** The configuration: what operators state once for all sites, with overlays per site. */
package org.hibiscusreel.core.config;
