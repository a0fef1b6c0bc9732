/** Decision logic without I/O, threads or access to a clock. */
package org.hibiscusreel.core;
