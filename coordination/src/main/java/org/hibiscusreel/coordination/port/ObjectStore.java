package org.hibiscusreel.coordination.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. Futures complete on the event loop and never exceptionally. */
public interface ObjectStore {

  /** Outcome of a read. */
  sealed interface GetResult {

    /**
     * The object exists.
     *
     * @param body content of the object
     */
    record Found(byte[] body) implements GetResult {}

    /** The object does not exist. */
    record Missing() implements GetResult {}

    /**
     * The read failed.
     *
     * @param reason description of the failure
     */
    record Failed(String reason) implements GetResult {}
  }

  /** Outcome of a listing. */
  sealed interface ListResult {

    /**
     * The keys that were found, in ascending order.
     *
     * @param keys keys that start with the prefix
     */
    record Keys(List<String> keys) implements ListResult {}

    /**
     * The listing failed.
     *
     * @param reason description of the failure
     */
    record Failed(String reason) implements ListResult {}
  }

  /**
   * Writes an object, replacing one with the same key.
   *
   * @param key key of the object
   * @param body content of the object
   * @return true if the object was certainly written, false if the write failed or its outcome is
   *     unknown
   */
  CompletableFuture<Boolean> put(String key, byte[] body);

  /**
   * Reads an object.
   *
   * @param key key of the object
   * @return the outcome
   */
  CompletableFuture<GetResult> get(String key);

  /**
   * Lists keys.
   *
   * @param prefix prefix of the keys
   * @return the outcome
   */
  CompletableFuture<ListResult> list(String prefix);
}
