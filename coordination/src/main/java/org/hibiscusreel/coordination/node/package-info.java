/** The coordination services of one daemon, composed. */
package org.hibiscusreel.coordination.node;
