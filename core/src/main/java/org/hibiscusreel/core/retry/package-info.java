/** Limits on retries. */
package org.hibiscusreel.core.retry;
