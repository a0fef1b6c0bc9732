/** Budget changes made by operators. */
package org.hibiscusreel.ctl.budget;
