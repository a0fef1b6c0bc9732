/** Commands of the command-line tool for operators. */
package org.hibiscusreel.ctl.command;
