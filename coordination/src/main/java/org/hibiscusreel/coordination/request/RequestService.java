package org.hibiscusreel.coordination.request;

import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.core.request.RequestKey;

/** Serves validated requests: admission, reservation, routing, dispatch, retry and billing. */
public interface RequestService {

  /**
   * Serves a call to a model.
   *
   * @param request the call
   * @param listener receives the answer
   * @return the call in progress
   */
  ModelCall submit(ModelRequest request, AnswerListener listener);

  /**
   * Serves a call to a plain service.
   *
   * @param request the call
   * @return the outcome; never completes exceptionally
   */
  CompletableFuture<ServiceOutcome> submit(ServiceRequest request);

  /**
   * Looks up an earlier request.
   *
   * @param key key of the request
   * @return the known status; never completes exceptionally
   */
  CompletableFuture<RequestStatus> lookUp(RequestKey key);

  /**
   * Returns the number of requests in progress.
   *
   * @return 0 or more
   */
  int inProgress();

  /** Refuses new requests from now on; requests in progress continue. */
  void stopAccepting();
}
