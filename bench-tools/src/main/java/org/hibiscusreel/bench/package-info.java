/** Stand-ins for outside systems, load generation and policy comparison; not shipped. */
package org.hibiscusreel.bench;
