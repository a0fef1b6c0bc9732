/** Claims in the platform for calls that may not be repeated. */
package org.hibiscusreel.coordination.claim;
