/** The life of a request from admission to its bill. */
package org.hibiscusreel.coordination.request;
