/** Claims, which ensure that a non-repeatable call is dispatched at most once. */
package org.hibiscusreel.core.claim;
