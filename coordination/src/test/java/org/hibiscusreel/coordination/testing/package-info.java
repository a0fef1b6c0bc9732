/** Fake implementations of the ports for tests of the coordination services. */
package org.hibiscusreel.coordination.testing;
