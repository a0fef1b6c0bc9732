/** Proofs of death, and reclamation of the allotments of dead incarnations. */
package org.hibiscusreel.core.recovery;
