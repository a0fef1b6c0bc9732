/** Compiles, publishes and follows the configuration. */
package org.hibiscusreel.coordination.config;
