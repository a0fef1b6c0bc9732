/** Bills: buffered, flushed to the platform in batches, one per request. */
package org.hibiscusreel.coordination.ledger;
