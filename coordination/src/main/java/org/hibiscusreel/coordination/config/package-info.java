/** Follows the published configuration. */
package org.hibiscusreel.coordination.config;
