/** Identifiers, outcomes and reported failures of requests. */
package org.hibiscusreel.core.request;
