/** Subcommands of the operator program. */
package org.hibiscusreel.ctl.command;
