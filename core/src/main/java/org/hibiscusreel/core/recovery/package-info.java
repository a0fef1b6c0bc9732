/** Proofs of death and reclaim of what dead incarnations held. */
package org.hibiscusreel.core.recovery;
