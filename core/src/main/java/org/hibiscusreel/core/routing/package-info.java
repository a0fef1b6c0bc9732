/** Choice of an upstream for a request. */
package org.hibiscusreel.core.routing;
