/** Serves requests from admission to billing. */
package org.hibiscusreel.coordination.request;
