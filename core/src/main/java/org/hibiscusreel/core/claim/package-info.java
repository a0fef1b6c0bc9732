/** Claims: at most one dispatch of a call that may not be repeated. */
package org.hibiscusreel.core.claim;
