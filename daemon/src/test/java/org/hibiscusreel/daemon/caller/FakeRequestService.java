package org.hibiscusreel.daemon.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.request.AnswerEnd;
import org.hibiscusreel.coordination.request.AnswerListener;
import org.hibiscusreel.coordination.request.ModelCall;
import org.hibiscusreel.coordination.request.ModelRequest;
import org.hibiscusreel.coordination.request.RequestService;
import org.hibiscusreel.coordination.request.RequestStatus;
import org.hibiscusreel.coordination.request.ServiceOutcome;
import org.hibiscusreel.coordination.request.ServiceRequest;
import org.hibiscusreel.core.config.ClientAccount;
import org.hibiscusreel.core.config.Configuration;
import org.hibiscusreel.core.config.ModelSettings;
import org.hibiscusreel.core.config.PlainService;
import org.hibiscusreel.core.config.RequestClass;
import org.hibiscusreel.core.config.ServiceMethod;
import org.hibiscusreel.core.config.ServingDefaults;
import org.hibiscusreel.core.request.Ran;
import org.hibiscusreel.core.request.RequestKey;

/** Scripted request service that records its calls, with a small configuration. */
public final class FakeRequestService implements RequestService, ConfigurationView {

  /** Client key of the only client account. */
  public static final String KEY = "secret";

  /** Handles calls to a model; by default answers with the text "hello". */
  public volatile BiConsumer<ModelRequest, AnswerListener> onModel =
      (r, l) -> {
        l.onPiece("hel");
        l.onPiece("lo");
        l.onComplete(end("hello"));
      };

  volatile Function<ServiceRequest, ServiceOutcome> onService =
      r -> new ServiceOutcome.Answered(200, r.contentType(), r.body());
  volatile RequestStatus status =
      new RequestStatus(Ran.UNKNOWN, "not_known", 0, 0, "", new byte[0]);
  volatile boolean hasConfiguration = true;
  final BlockingQueue<ModelRequest> models = new LinkedBlockingQueue<>();
  final BlockingQueue<ServiceRequest> services = new LinkedBlockingQueue<>();
  final BlockingQueue<String> signals = new LinkedBlockingQueue<>();
  private final AtomicInteger inProgress = new AtomicInteger();
  private volatile boolean stopped;

  /** Returns the end of an answer with a text. */
  public static AnswerEnd end(String text) {
    return new AnswerEnd("stop", 3, 2, text.length(), CanonicalJson.sha256(text));
  }

  /** Waits for the next signal to a call, such as {@code pause}. */
  String nextSignal() throws InterruptedException {
    return signals.poll(10, TimeUnit.SECONDS);
  }

  /** Tells whether new requests are refused. */
  public boolean isStopped() {
    return stopped;
  }

  @Override
  public ModelCall submit(ModelRequest request, AnswerListener listener) {
    models.add(request);
    onModel.accept(request, listener);
    return new ModelCall() {
      @Override
      public void pause() {
        signals.add("pause");
      }

      @Override
      public void resumeReading() {
        signals.add("proceed");
      }

      @Override
      public void cancel() {
        signals.add("cancel");
      }
    };
  }

  @Override
  public CompletableFuture<ServiceOutcome> submit(ServiceRequest request) {
    services.add(request);
    return CompletableFuture.completedFuture(onService.apply(request));
  }

  @Override
  public CompletableFuture<RequestStatus> lookUp(RequestKey key) {
    return CompletableFuture.completedFuture(status);
  }

  @Override
  public int inProgress() {
    return inProgress.get();
  }

  @Override
  public void stopAccepting() {
    stopped = true;
  }

  @Override
  public Optional<Configuration> current() {
    return hasConfiguration ? Optional.of(configuration()) : Optional.empty();
  }

  @Override
  public void addListener(Consumer<Configuration> listener) {
    listener.accept(configuration());
  }

  private static Configuration configuration() {
    ServiceMethod sign = new ServiceMethod("sign", false, 50, 20, 1000);
    return new Configuration(
        1,
        new ServingDefaults(30_000, 1, 0, 512),
        Map.of(),
        Map.of("writer", new ModelSettings("writer", 4096, 0)),
        Map.of(),
        Map.of("records", new PlainService("records", Map.of("sign", sign))),
        Map.of("sign-out", new RequestClass("sign-out", 10, 1000, 5)),
        Map.of(
            "uno",
            new ClientAccount(
                "uno", List.of(CanonicalJson.sha256(KEY)), List.of("main", "second"), 0, 0)));
  }
}
