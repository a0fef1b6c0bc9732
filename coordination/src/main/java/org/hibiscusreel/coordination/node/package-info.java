/** Composes the coordination services of one daemon. */
package org.hibiscusreel.coordination.node;
