package org.hibiscusreel.bench.standin;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** An external system that a stand-in process simulates. */
interface Role {

  /** Returns whether this role serves the path. */
  boolean serves(String path);

  /** Returns whether the request writes, so that its response can be lost after the effect. */
  boolean isWrite(HttpRequest request);

  /**
   * Serves a request whose body has been loaded.
   *
   * @param request the request
   * @param path the decoded path
   * @param body the body, empty if absent
   * @return the response
   */
  Promise<HttpResponse> serve(HttpRequest request, String path, byte[] body);

  /** Returns the observations of this role, to be written as JSON. */
  Object observed();

  /** Discards the state that is lost when the process crashes. */
  default void crash() {}
}
