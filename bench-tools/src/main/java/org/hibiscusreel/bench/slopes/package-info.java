/** Measures how memory, messages and CPU time grow with size, by fitting straight lines. */
package org.hibiscusreel.bench.slopes;
