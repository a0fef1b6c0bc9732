package org.hibiscusreel.coordination.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibiscusreel.core.request.RequestKey;

/** Requests of this daemon that are in progress or were served recently. */
final class RecentRequests {
  private static final int MAX_SERVED = 10_000;

  private final Set<RequestKey> inProgress = new HashSet<>();
  private final Map<RequestKey, Long> served =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestKey, Long> eldest) {
          return size() > MAX_SERVED;
        }
      };

  /** Adds a request to those in progress; returns false if it is already in progress. */
  boolean begin(RequestKey key) {
    return inProgress.add(key);
  }

  void onEnded(RequestKey key, long billedTokens, boolean complete) {
    inProgress.remove(key);
    if (complete) {
      served.put(key, billedTokens);
    }
  }

  boolean isInProgress(RequestKey key) {
    return inProgress.contains(key);
  }

  /** Returns the tokens billed for a request that was served recently. */
  Optional<Long> servedTokens(RequestKey key) {
    return Optional.ofNullable(served.get(key));
  }

  int inProgress() {
    return inProgress.size();
  }
}
