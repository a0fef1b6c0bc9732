/** Mutation tests of the checker: it must detect defects injected through ports and decorators. */
package org.hibiscusreel.bench.mutants;
