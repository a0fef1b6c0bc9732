/** Compares the shipped budget policy with baseline policies on the same traces and seeds. */
package org.hibiscusreel.bench.compare;
