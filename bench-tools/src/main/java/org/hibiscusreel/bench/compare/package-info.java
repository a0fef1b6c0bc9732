/** Comparison of the shipped budget policy with baselines on the same traces and seeds. */
package org.hibiscusreel.bench.compare;
