/** Pure decision logic: no input or output, no threads, no clock of its own. */
package org.hibiscusreel.core;
