/** Detection of requests that crash the upstreams that execute them. */
package org.hibiscusreel.core.crash;
