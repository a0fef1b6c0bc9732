/** Demonstration that runs the whole system as separate processes and injects faults. */
package org.hibiscusreel.bench.demo;
