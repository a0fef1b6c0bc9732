/** Command-line tool for operators. */
package org.hibiscusreel.ctl;
