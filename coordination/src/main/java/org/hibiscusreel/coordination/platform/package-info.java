/** Keys and codec of the rows that the platform keeps. */
package org.hibiscusreel.coordination.platform;
