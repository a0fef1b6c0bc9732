/** Steps of the scripted scenarios. */
package org.hibiscusreel.bench.scenario;
