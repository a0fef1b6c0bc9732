/** Fencing of commands to engines. */
package org.hibiscusreel.core.order;
