/** Cucumber step definitions of the scenarios. */
package org.hibiscusreel.bench.scenario;
