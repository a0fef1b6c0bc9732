package org.hibiscusreel.ctl.command;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;

/** Days in UTC. */
final class Dates {

  private Dates() {}

  /** Returns the day of a time in milliseconds since the epoch. */
  static LocalDate of(long wallMillis) {
    return LocalDate.ofInstant(Instant.ofEpochMilli(wallMillis), ZoneOffset.UTC);
  }

  /** Returns the day of an option, or the present day if the option is null. */
  static LocalDate orToday(String date, long wallMillis) {
    if (date == null) {
      return of(wallMillis);
    }
    try {
      return LocalDate.parse(date);
    } catch (DateTimeParseException e) {
      throw CommandFailure.usage("--date must be YYYY-MM-DD but is " + date);
    }
  }

  /** Returns the start of a day in milliseconds since the epoch. */
  static long startMillis(LocalDate date) {
    return date.atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
  }
}
