/** Identities, outcomes and problems of requests. */
package org.hibiscusreel.core.request;
