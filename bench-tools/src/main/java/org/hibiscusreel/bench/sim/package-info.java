/**
 * Deterministic simulation of daemons on fakes of their ports. A run uses one virtual clock and one
 * seed, and its links can be cut or delay messages.
 */
package org.hibiscusreel.bench.sim;
