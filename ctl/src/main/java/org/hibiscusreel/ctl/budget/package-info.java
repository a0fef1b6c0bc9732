/** Changes of budget rows by operators. */
package org.hibiscusreel.ctl.budget;
