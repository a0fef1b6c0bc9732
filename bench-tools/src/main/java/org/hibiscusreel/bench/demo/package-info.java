/** Demonstration of the whole system as separate processes under faults. */
package org.hibiscusreel.bench.demo;
