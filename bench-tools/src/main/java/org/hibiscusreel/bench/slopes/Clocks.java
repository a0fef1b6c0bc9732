package org.hibiscusreel.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryUsage;

/** Processor time of this thread and used memory of this process. */
final class Clocks {

  private static final int COLLECTIONS = 4;

  private Clocks() {}

  /** Returns the processor time of this thread in nanoseconds. */
  static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the bytes of objects that are reachable, after explicit collections. */
  static long retainedBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    MemoryUsage heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
    return heap.getUsed();
  }
}
