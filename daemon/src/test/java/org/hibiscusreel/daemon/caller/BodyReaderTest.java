package org.hibiscusreel.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.hibiscusreel.daemon.http.BodyMemory;
import org.hibiscusreel.daemon.loop.EventLoopScheduler;
import org.hibiscusreel.daemon.loop.TestLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class BodyReaderTest {

  private final TestLoop loop = new TestLoop();
  private final EventLoopScheduler scheduler = new EventLoopScheduler(loop.eventloop());
  private final BodyMemory memory = new BodyMemory(100, 100, 0);

  @AfterEach
  void stop() {
    loop.close();
  }

  private Promise<byte[]> read(ChannelSupplier<ByteBuf> source) {
    return BodyReader.read(source, 80, memory, scheduler);
  }

  private static ByteBuf bytes(int count) {
    return ByteBuf.wrapForReading(new byte[count]);
  }

  /** Guards against bodies that are within the limit one by one but fill the heap together. */
  @Test
  void boundsTheMemoryOfAllBodies() {
    loop.run(
        () -> {
          SettablePromise<ByteBuf> pending = new SettablePromise<>();
          boolean[] isFirst = {true};
          Promise<byte[]> slow =
              read(
                  ChannelSuppliers.ofAsyncSupplier(
                      () -> {
                        Promise<ByteBuf> next = isFirst[0] ? Promise.of(bytes(60)) : pending;
                        isFirst[0] = false;
                        return next;
                      }));
          Promise<byte[]> refused = read(ChannelSuppliers.ofValue(bytes(60)));
          assertThat(refused.getException()).hasMessageContaining("too many bodies");

          pending.set(null);

          assertThat(slow.getResult()).hasSize(60);
          assertThat(read(ChannelSuppliers.ofValue(bytes(60))).getResult()).hasSize(60);
        });
  }
}
