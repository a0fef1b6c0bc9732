/**
 * Simulators of the platform, model engines and plain services, which run as separate processes.
 */
package org.hibiscusreel.bench.standin;
