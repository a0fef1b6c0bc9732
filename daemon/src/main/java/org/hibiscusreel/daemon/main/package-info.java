/** The process: command line, composition, logging, start and graceful stop. */
package org.hibiscusreel.daemon.main;
