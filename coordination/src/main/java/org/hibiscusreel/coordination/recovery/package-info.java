/** Recovery of what ended incarnations left behind. */
package org.hibiscusreel.coordination.recovery;
