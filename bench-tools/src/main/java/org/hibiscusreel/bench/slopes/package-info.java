/** Measures how state, messages and processor time grow, as slopes of straight lines. */
package org.hibiscusreel.bench.slopes;
