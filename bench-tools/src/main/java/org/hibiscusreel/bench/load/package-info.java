/** Load benchmark with an open-loop load generator. */
package org.hibiscusreel.bench.load;
