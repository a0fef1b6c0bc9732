/** Time line of events over all processes, ordered by hybrid logical clocks. */
package org.hibiscusreel.core.timeline;
