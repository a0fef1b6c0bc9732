/** Bills, one for each request. */
package org.hibiscusreel.core.ledger;
