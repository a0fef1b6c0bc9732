/** Bills: one per request. */
package org.hibiscusreel.core.ledger;
