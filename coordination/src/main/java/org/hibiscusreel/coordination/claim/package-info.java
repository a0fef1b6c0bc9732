/** Claims calls that must not be repeated in the platform. */
package org.hibiscusreel.coordination.claim;
