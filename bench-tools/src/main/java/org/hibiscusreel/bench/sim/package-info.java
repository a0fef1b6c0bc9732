/** Fakes of the ports on one virtual clock, driven by one seed: links that are cut, and delay. */
package org.hibiscusreel.bench.sim;
