package org.hibiscusreel.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryUsage;

/** CPU time of the current thread and heap usage of this process. */
final class ResourceUsage {

  private static final int GC_RUNS = 4;

  private ResourceUsage() {}

  /** Returns the CPU time of the current thread in nanoseconds. */
  static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /**
   * Returns the used heap in bytes after explicit garbage collections, which leave reachable
   * objects.
   */
  static long retainedBytes() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    MemoryUsage heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
    return heap.getUsed();
  }
}
