/** Brings engines into their declared state. */
package org.hibiscusreel.coordination.order;
