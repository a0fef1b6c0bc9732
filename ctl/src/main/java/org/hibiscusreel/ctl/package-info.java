/** The operator program. */
package org.hibiscusreel.ctl;
