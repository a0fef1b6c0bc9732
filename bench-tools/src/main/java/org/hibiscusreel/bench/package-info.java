/**
 * Test tools that are not part of the release: simulation, stand-ins for external systems, load
 * generation and policy comparison.
 */
package org.hibiscusreel.bench;
