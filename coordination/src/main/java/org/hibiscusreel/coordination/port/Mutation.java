package org.hibiscusreel.coordination.port;

import java.util.Objects;

/**
 * A conditional change of one row within a transaction.
 *
 * @param key key of the row
 * @param expect condition on the version of the row
 * @param change change to apply to the row
 */
public record Mutation(String key, Expect expect, Change change) {

  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public Mutation {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(expect, "expect");
    Objects.requireNonNull(change, "change");
  }

  /** A condition on the version of a row. */
  public sealed interface Expect {

    /** Any version, including an absent row. */
    record Any() implements Expect {}

    /** The row must be absent. */
    record Absent() implements Expect {}

    /**
     * The row must have this version.
     *
     * @param version a positive version
     */
    record Version(long version) implements Expect {}
  }

  /** A change to a row. */
  public sealed interface Change {

    /**
     * Writes the value.
     *
     * @param value JSON text
     */
    record Put(String value) implements Change {}

    /** Deletes the row. */
    record Delete() implements Change {}

    /** Leaves the row unchanged; only the condition is checked. */
    record Check() implements Change {}
  }

  /**
   * Inserts a row that must be absent.
   *
   * @param key key of the row
   * @param value JSON text
   * @return the mutation
   */
  public static Mutation insert(String key, String value) {
    return new Mutation(key, new Expect.Absent(), new Change.Put(value));
  }

  /**
   * Replaces a row that must have the given version.
   *
   * @param key key of the row
   * @param version expected version; 0 means that the row must be absent
   * @param value JSON text
   * @return the mutation
   */
  public static Mutation replace(String key, long version, String value) {
    Expect e = version == 0 ? new Expect.Absent() : new Expect.Version(version);
    return new Mutation(key, e, new Change.Put(value));
  }

  /**
   * Writes a row regardless of its version.
   *
   * @param key key of the row
   * @param value JSON text
   * @return the mutation
   */
  public static Mutation put(String key, String value) {
    return new Mutation(key, new Expect.Any(), new Change.Put(value));
  }
}
