/** Open-loop load generator. */
package org.hibiscusreel.bench.load;
