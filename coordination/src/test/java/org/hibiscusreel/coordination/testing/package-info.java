/** Fakes of the ports for tests of the services. */
package org.hibiscusreel.coordination.testing;
