/** Assembly of a response from the chunks of its attempts. */
package org.hibiscusreel.core.answer;
