/** Embeddable coordination services that drive the core over asynchronous ports. */
package org.hibiscusreel.coordination;
