/** Entry point: command line, wiring of the services, logging, start and graceful stop. */
package org.hibiscusreel.daemon.main;
