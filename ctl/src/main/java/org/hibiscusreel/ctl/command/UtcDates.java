package org.hibiscusreel.ctl.command;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;

/** Conversions between timestamps and days in UTC. */
final class UtcDates {

  private UtcDates() {}

  /** Returns the day of a timestamp in milliseconds since the epoch. */
  static LocalDate dayOf(long wallMillis) {
    return LocalDate.ofInstant(Instant.ofEpochMilli(wallMillis), ZoneOffset.UTC);
  }

  /**
   * Parses the value of {@code --date}, or returns the day of the given timestamp if it is null.
   */
  static LocalDate parseOrToday(String date, long wallMillis) {
    if (date == null) {
      return dayOf(wallMillis);
    }
    try {
      return LocalDate.parse(date);
    } catch (DateTimeParseException e) {
      throw CommandException.usageError("--date must be YYYY-MM-DD but was " + date);
    }
  }

  /** Returns the start of a day in milliseconds since the epoch. */
  static long startOfDayMillis(LocalDate date) {
    return date.atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
  }
}
