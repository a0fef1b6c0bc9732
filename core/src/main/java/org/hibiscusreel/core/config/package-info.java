/** Configuration that operators publish for all sites, with overlays for each site. */
package org.hibiscusreel.core.config;
