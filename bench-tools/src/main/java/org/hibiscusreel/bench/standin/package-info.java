/** Stand-ins for the platform, model engines and plain services, run as real processes. */
package org.hibiscusreel.bench.standin;
