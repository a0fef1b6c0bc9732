/** Access to the platform: keys and codec of its rows, rate limits, batching and retries. */
package org.hibiscusreel.coordination.platform;
