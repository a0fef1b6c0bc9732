/** Fencing of the commands sent to engines. */
package org.hibiscusreel.core.order;
