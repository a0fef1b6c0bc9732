/** Budgets, allotments and reservations of tokens. */
package org.hibiscusreel.core.budget;
