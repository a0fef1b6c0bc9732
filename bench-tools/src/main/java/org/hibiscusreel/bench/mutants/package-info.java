/** Deliberate faults, put in through ports and decorators, that the checker has to report. */
package org.hibiscusreel.bench.mutants;
