package org.hibiscusreel.coordination.request;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hibiscusreel.coordination.membership.MemberInfo;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.ReadResult;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.claim.ClaimRow;
import org.hibiscusreel.core.claim.ClaimState;
import org.hibiscusreel.core.ledger.Bill;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;
import org.hibiscusreel.wire.LookUpRequestRequest;
import org.hibiscusreel.wire.LookUpRequestResponse;

/** Looks up earlier requests in the platform's table and at the daemons of the failure domain. */
final class RequestLookUp {
  /** Largest number of daemons asked about a request without rows. */
  private static final int MAX_PEERS = 8;

  private static final long PEER_TIMEOUT_MILLIS = 500;
  private static final byte[] NO_BODY = {};

  private final RequestContext context;

  RequestLookUp(RequestContext context) {
    this.context = context;
  }

  CompletableFuture<RequestStatus> lookUp(RequestKey key) {
    if (context.recent().isInProgress(key)) {
      return CompletableFuture.completedFuture(status(Ran.UNKNOWN, "in_progress", 0));
    }
    List<String> keys =
        List.of(
            TableKeys.claim(key.account(), key.requestId()),
            TableKeys.bill(key.account(), key.requestId()));
    return context
        .dependencies()
        .ports()
        .table()
        .read(keys)
        .thenCompose(r -> fromRows(key, keys, r));
  }

  private CompletableFuture<RequestStatus> fromRows(
      RequestKey key, List<String> keys, ReadResult result) {
    Optional<Long> served = context.recent().servedTokens(key);
    if (!(result instanceof ReadResult.Rows rows)) {
      return CompletableFuture.completedFuture(
          served
              .map(tokens -> status(Ran.YES, "finished", tokens))
              .orElse(status(Ran.UNKNOWN, "unavailable", 0)));
    }
    Optional<ClaimRow> claim = find(rows, keys.get(0), ClaimRow.class);
    Optional<Bill> bill = find(rows, keys.get(1), Bill.class);
    long tokens = bill.map(Bill::tokens).or(() -> served).orElse(0L);
    if (claim.isPresent()) {
      return CompletableFuture.completedFuture(fromClaim(claim.get(), tokens));
    }
    if (bill.isPresent() || served.isPresent()) {
      return CompletableFuture.completedFuture(status(Ran.YES, "finished", tokens));
    }
    return askPeers(key);
  }

  private static <T> Optional<T> find(ReadResult.Rows rows, String key, Class<T> type) {
    return rows.rows().stream()
        .filter(r -> r.key().equals(key) && r.version() > 0)
        .map(Row::value)
        .findFirst()
        .map(v -> Json.read(v, type));
  }

  private static RequestStatus fromClaim(ClaimRow row, long tokens) {
    if (row.state() == ClaimState.FINISHED) {
      return new RequestStatus(
          Ran.YES,
          "finished",
          tokens,
          row.status(),
          row.contentType(),
          Base64.getDecoder().decode(row.body()));
    }
    return row.state() == ClaimState.WITHDRAWN
        ? status(Ran.NO, "withdrawn", 0)
        : status(Ran.UNKNOWN, "in_progress", 0);
  }

  private CompletableFuture<RequestStatus> askPeers(RequestKey key) {
    List<CompletableFuture<Optional<LookUpRequestResponse>>> calls = new ArrayList<>();
    MemberInfo self = context.self();
    List<MemberInfo> ranked =
        context.dependencies().membership().rank(self.failureDomain(), key.requestId());
    for (MemberInfo m : ranked.subList(0, Math.min(MAX_PEERS, ranked.size()))) {
      if (!m.incarnation().equals(self.incarnation())) {
        calls.add(ask(m, key));
      }
    }
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .thenApply(done -> fromPeers(calls));
  }

  private CompletableFuture<Optional<LookUpRequestResponse>> ask(MemberInfo m, RequestKey key) {
    LookUpRequestRequest request =
        LookUpRequestRequest.newBuilder()
            .setStamp(context.recorder().stamp())
            .setAccount(key.account())
            .setRequestId(key.requestId())
            .build();
    return context
        .dependencies()
        .ports()
        .peers()
        .lookUpRequest(m.peerAddress(), request, PEER_TIMEOUT_MILLIS);
  }

  /**
   * Combines the responses; a request without rows may still run at a daemon that was not asked.
   */
  private static RequestStatus fromPeers(
      List<CompletableFuture<Optional<LookUpRequestResponse>>> calls) {
    RequestStatus best = status(Ran.UNKNOWN, "not_known", 0);
    for (var call : calls) {
      Optional<LookUpRequestResponse> r = call.join();
      if (r.isEmpty()) {
        continue;
      }
      switch (r.get().getState()) {
        case FINISHED -> {
          return status(Ran.YES, "finished", 0);
        }
        case IN_PROGRESS -> best = status(Ran.UNKNOWN, "in_progress", 0);
        default -> {}
      }
    }
    return best;
  }

  LookUpRequestResponse handlePeerRequest(LookUpRequestRequest request) {
    context.recorder().observe(request.getStamp());
    LookUpRequestResponse.State state = LookUpRequestResponse.State.NOT_KNOWN;
    if (!request.getAccount().isEmpty() && !request.getRequestId().isEmpty()) {
      RequestKey key = new RequestKey(request.getAccount(), request.getRequestId());
      if (context.recent().isInProgress(key)) {
        state = LookUpRequestResponse.State.IN_PROGRESS;
      } else if (context.recent().servedTokens(key).isPresent()) {
        state = LookUpRequestResponse.State.FINISHED;
      }
    }
    return LookUpRequestResponse.newBuilder()
        .setStamp(context.recorder().stamp())
        .setState(state)
        .setIncarnation(context.self().incarnation())
        .build();
  }

  private static RequestStatus status(Ran ran, String state, long tokens) {
    return new RequestStatus(ran, state, tokens, 0, "", NO_BODY);
  }
}
