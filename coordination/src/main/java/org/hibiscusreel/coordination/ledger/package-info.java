/** Buffers bills, one per request, and flushes them to the platform in batches. */
package org.hibiscusreel.coordination.ledger;
